//! Which VMs move to another pool or are drained.

use clock::Instant;
use havenladder_fleet::{DrainableVm, IdleVm, PoolDemand, Resize, SizingLimits, VmMove, resize};
use std::time::Duration;

fn pool(
    name: &str,
    vms: usize,
    peak_running: u64,
    waiting: u64,
    idle: &[&str],
    since: Instant,
) -> PoolDemand {
    let idle = idle
        .iter()
        .map(|vm| IdleVm {
            vm: (*vm).to_owned(),
            since,
            drained: false,
        })
        .collect();
    let reserve = name == "reserve";
    PoolDemand {
        pool: name.to_owned(),
        reserve,
        vms,
        vm_capacity: 16_000,
        peak_running,
        running: peak_running,
        waiting,
        min_vms: 0,
        demand_unknown: false,
        inflow: 0,
        forecast_inflow: 0,
        late: 0,
        late_running: 0,
        idle,
        drainable: Vec::new(),
    }
}

fn vm_move(vm: &str, from: &str, to: &str) -> VmMove {
    VmMove {
        vm: vm.to_owned(),
        from: from.to_owned(),
        to: to.to_owned(),
    }
}

fn plan_moves(pools: &[PoolDemand], now: Instant, limits: &SizingLimits) -> Vec<VmMove> {
    resize(pools, now, limits).moves
}

fn later(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_pool_in_need_gets_idle_vms_of_others_before_the_reserve() {
    let start = Instant::now();
    let pools = [
        pool("a", 2, 30_000, 40_000, &[], start),
        pool("b", 3, 16_000, 0, &["b1"], start),
        pool("reserve", 2, 0, 0, &["r1", "r2"], start),
    ];
    let moves = plan_moves(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(
        moves,
        [
            vm_move("b1", "b", "a"),
            vm_move("r1", "reserve", "a"),
            vm_move("r2", "reserve", "a")
        ]
    );
}

#[test]
fn a_pool_that_needs_its_vms_gives_none_away() {
    let start = Instant::now();
    let pools = [
        pool("a", 1, 16_000, 2_000, &[], start),
        pool("b", 2, 20_000, 0, &["b1"], start),
    ];
    assert!(plan_moves(&pools, later(start, 9_000), &SizingLimits::default()).is_empty());
}

#[test]
fn a_vm_that_has_been_idle_for_long_goes_to_the_reserve() {
    let start = Instant::now();
    let pools = [
        pool("a", 3, 9_000, 0, &["a1", "a2"], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    let limits = SizingLimits::default();
    assert!(plan_moves(&pools, later(start, 1_400), &limits).is_empty());
    let moves = plan_moves(&pools, later(start, 1_500), &limits);
    assert_eq!(
        moves,
        [vm_move("a1", "a", "reserve"), vm_move("a2", "a", "reserve")]
    );
}

#[test]
fn the_last_vm_of_a_pool_stays() {
    let start = Instant::now();
    let pools = [
        pool("a", 1, 0, 0, &["a1"], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    assert!(plan_moves(&pools, later(start, 9_000), &SizingLimits::default()).is_empty());
}

#[test]
fn a_pool_keeps_the_vms_over_which_its_tasks_are_spread() {
    let start = Instant::now();
    let mut spread = pool("a", 3, 0, 0, &["a1", "a2", "a3"], start);
    spread.min_vms = 2;
    let mut short = pool("b", 1, 0, 0, &[], start);
    short.min_vms = 3;
    let pools = [spread, short, pool("reserve", 1, 0, 0, &["r1"], start)];
    let moves = plan_moves(&pools, later(start, 9_000), &SizingLimits::default());
    assert_eq!(
        moves,
        [vm_move("a1", "a", "b"), vm_move("r1", "reserve", "b")]
    );
}

#[test]
fn a_pool_of_unknown_demand_keeps_its_initial_share() {
    let start = Instant::now();
    let mut demand_unknown = pool("a", 5, 0, 0, &["a1", "a2", "a3", "a4", "a5"], start);
    demand_unknown.demand_unknown = true;
    // Ten VMs and two pools that serve jobs: an equal share is five VMs, of which seven tenths (four) stay.
    let pools = [
        demand_unknown,
        pool("b", 5, 72_000, 0, &[], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    let moves = plan_moves(&pools, later(start, 9_000), &SizingLimits::default());
    assert_eq!(moves, [vm_move("a1", "a", "reserve")]);
}

#[test]
fn a_pool_grows_with_its_inflow_before_any_job_waits() {
    let start = Instant::now();
    let mut rising = pool("a", 1, 8_000, 0, &[], start);
    rising.inflow = 20_000;
    let pools = [rising, pool("reserve", 1, 0, 0, &["r1"], start)];
    let moves = plan_moves(&pools, later(start, 1), &SizingLimits::default());
    assert_eq!(moves, [vm_move("r1", "reserve", "a")]);
}

#[test]
fn a_pool_gets_and_keeps_the_vms_for_its_forecast() {
    let start = Instant::now();
    let mut rising = pool("a", 1, 8_000, 0, &[], start);
    (rising.inflow, rising.forecast_inflow) = (8_000, 20_000);
    let reserve = pool("reserve", 1, 0, 0, &["r1"], start);
    let moves = plan_moves(
        &[rising, reserve],
        later(start, 1),
        &SizingLimits::default(),
    );
    assert_eq!(moves, [vm_move("r1", "reserve", "a")]);
    let mut there = pool("a", 2, 8_000, 0, &["a1"], start);
    there.forecast_inflow = 20_000;
    let reserve = pool("reserve", 0, 0, 0, &[], start);
    let idle = later(start, 10_000);
    assert!(plan_moves(&[there, reserve], idle, &SizingLimits::default()).is_empty());
}

#[test]
fn a_pool_with_few_waiting_tasks_gives_its_surplus_away() {
    let start = Instant::now();
    let pools = [
        pool("a", 1, 16_000, 20_000, &[], start),
        pool("b", 5, 8_000, 1_000, &["b1", "b2"], start),
    ];
    let moves = plan_moves(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(moves, [vm_move("b1", "b", "a"), vm_move("b2", "b", "a")]);
}

/// Returns VMs that run only work that ends by itself.
fn drainable(start: Instant, rows: &[(&str, u64, bool)]) -> Vec<DrainableVm> {
    let vm = |(vm, free, draining): &(&str, u64, bool)| DrainableVm {
        vm: (*vm).to_owned(),
        free: later(start, *free),
        draining: *draining,
    };
    rows.iter().map(vm).collect()
}

/// Returns a pool whose jobs wait, and one that has more than its fair share but likely needs it.
fn starving_and_rich(start: Instant, idle: &[&str]) -> [PoolDemand; 2] {
    [
        pool("a", 2, 30_000, 100_000, &[], start),
        pool("b", 6, 80_000, 0, idle, start),
    ]
}

#[test]
fn a_pool_in_need_gets_idle_vms_of_a_pool_above_its_fair_share() {
    let start = Instant::now();
    let pools = starving_and_rich(start, &["b1"]);
    let moves = plan_moves(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(moves, [vm_move("b1", "b", "a")]);
}

#[test]
fn vms_that_are_free_first_are_drained_first() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &[]);
    pools[1].drainable = drainable(
        start,
        &[
            ("b1", 9_000, false),
            ("b2", 3_000, false),
            ("b3", 15_000, false),
        ],
    );
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done.drains, ["b2", "b1", "b3"]);
    assert!(done.moves.is_empty());
}

#[test]
fn draining_vms_come_before_others() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &[]);
    pools[1].drainable = drainable(
        start,
        &[
            ("b1", 9_000, true),
            ("b2", 3_000, false),
            ("b3", 4_000, true),
        ],
    );
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done.drains, ["b3", "b1", "b2"]);
}

#[test]
fn late_or_expected_work_drains_no_vm() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &["b1"]);
    pools[0].late = 100_000;
    pools[0].inflow = 500_000;
    pools[1].drainable = drainable(start, &[("b2", 3_000, false)]);
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}

#[test]
fn a_pool_that_lacks_vms_itself_is_not_drained() {
    let start = Instant::now();
    let mut pools = [
        pool("a", 2, 30_000, 300_000, &[], start),
        pool("b", 6, 96_000, 100_000, &[], start),
    ];
    pools[1].drainable = drainable(start, &[("b1", 3_000, false)]);
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}

/// Returns a pool whose VMs are busy with work that is late, with more of it waiting, and one that has a seventh of
/// the VMs and waiting work that can still be in time.
fn late_and_timely(start: Instant, idle: &[&str]) -> [PoolDemand; 2] {
    let mut late = pool("late", 14, 200_000, 800_000, idle, start);
    (late.late, late.late_running) = (800_000, 190_000);
    late.drainable = drainable(
        start,
        &[
            ("l1", 1_900, false),
            ("l2", 1_300, false),
            ("l3", 1_600, false),
        ],
    );
    [late, pool("timely", 2, 30_000, 200_000, &[], start)]
}

#[test]
fn late_work_keeps_its_vms_while_no_other_pool_needs_them() {
    // Guards against VMs that drain or move although nothing is gained.
    let start = Instant::now();
    let mut pools = late_and_timely(start, &["l4"]);
    let now = later(start, 9_000);
    (pools[1].running, pools[1].peak_running, pools[1].waiting) = (20_000, 20_000, 0);
    assert_eq!(
        resize(&pools, now, &SizingLimits::default()),
        Resize::default()
    );
    // Neither does other late work need them.
    (pools[1].waiting, pools[1].late) = (500_000, 500_000);
    assert_eq!(
        resize(&pools, now, &SizingLimits::default()),
        Resize::default()
    );
}

#[test]
fn idle_vms_go_to_work_in_time_before_late_work() {
    // Guards against late work that gets the VMs of the reserve only because there is more of it.
    let start = Instant::now();
    let mut late = pool("late", 2, 30_000, 900_000, &[], start);
    (late.late, late.late_running) = (900_000, 30_000);
    let pools = [
        late,
        pool("timely", 2, 30_000, 12_000, &[], start),
        pool("reserve", 3, 0, 0, &["r1", "r2", "r3"], start),
    ];
    let moves = plan_moves(&pools, later(start, 1), &SizingLimits::default());
    assert_eq!(
        moves,
        [
            vm_move("r1", "reserve", "timely"),
            vm_move("r2", "reserve", "late"),
            vm_move("r3", "reserve", "late")
        ]
    );
}

#[test]
fn shares_of_the_reserve_follow_work_in_time() {
    // Guards against a pool that gets all VMs of the reserve because its shortage is slightly larger.
    let start = Instant::now();
    let pools = [
        pool("a", 4, 57_600, 144_000, &[], start),
        pool("b", 4, 57_600, 130_000, &[], start),
        pool("reserve", 2, 0, 0, &["r1", "r2"], start),
    ];
    let moves = plan_moves(&pools, later(start, 1), &SizingLimits::default());
    assert_eq!(
        moves,
        [vm_move("r1", "reserve", "a"), vm_move("r2", "reserve", "b")]
    );
}

#[test]
fn work_in_time_gets_vms_of_a_pool_that_is_busy_with_late_work() {
    // Guards against late work that keeps the VMs which another pool needs for work that can still be in time.
    let start = Instant::now();
    let done = resize(
        &late_and_timely(start, &[]),
        later(start, 1_000),
        &SizingLimits::default(),
    );
    assert_eq!(done.drains, ["l2", "l3", "l1"]);
    let idle = late_and_timely(start, &["l4"]);
    let done = resize(&idle, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done.moves, [vm_move("l4", "late", "timely")]);
}

#[test]
fn a_pool_with_late_work_keeps_a_lower_bound() {
    // Guards against a service that starves while others have work in time for all VMs.
    let start = Instant::now();
    let names: Vec<String> = (0..40).map(|number| format!("l{number:02}")).collect();
    let rows: Vec<(&str, u64, bool)> = names.iter().map(|vm| (vm.as_str(), 500, false)).collect();
    let mut late = pool("late", 40, 600_000, 800_000, &[], start);
    (late.late, late.late_running) = (800_000, 600_000);
    late.drainable = drainable(start, &rows);
    let timely = pool("timely", 20, 300_000, 9_000_000, &[], start);
    let now = later(start, 1_000);
    // A tenth of an equal division of 60 VMs between two pools is three VMs.
    let done = resize(
        &[late.clone(), timely.clone()],
        now,
        &SizingLimits::default(),
    );
    assert_eq!(done.drains.len(), 37);
    late.min_vms = 25;
    let done = resize(&[late, timely], now, &SizingLimits::default());
    assert_eq!(done.drains.len(), 15);
}

#[test]
fn a_drained_vm_moves_as_soon_as_it_is_idle() {
    // Guards against late tasks that start on a drained VM between the end of its runs and its move.
    let start = Instant::now();
    let mut pools = late_and_timely(start, &["l4", "l5"]);
    pools[0].idle[1].drained = true;
    let done = resize(&pools, later(start, 1), &SizingLimits::default());
    assert_eq!(done.moves, [vm_move("l5", "late", "timely")]);
}

#[test]
fn a_pool_whose_work_in_time_is_not_covered_is_not_drained() {
    // Guards against drains of VMs that work in time could fill, because late work makes their pool seem rich.
    let start = Instant::now();
    let mut pools = late_and_timely(start, &[]);
    // It needs 28 VMs, has 14, and its fair share of 16 VMs is 11.
    pools[0].late = 600_000;
    (pools[0].running, pools[0].late_running) = (200_000, 0);
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}

#[test]
fn arriving_work_counts_while_work_in_time_waits() {
    // Guards against a pool that stays small because it accepts few jobs: only what arrives shows its need.
    let start = Instant::now();
    let now = later(start, 1_000);
    let mut pools = late_and_timely(start, &[]);
    pools[1].waiting = 5_000;
    let done = resize(&pools, now, &SizingLimits::default());
    assert_eq!(done.drains.len(), 1);
    pools[1].inflow = 500_000;
    let done = resize(&pools, now, &SizingLimits::default());
    assert_eq!(done.drains.len(), 3);
}

#[test]
fn a_pool_far_above_its_share_is_drained_although_its_work_in_time_is_not_covered() {
    // Guards against a pool that keeps nearly all VMs for the length of its peak while another pool's peak begins.
    let start = Instant::now();
    let names: Vec<String> = (0..20).map(|number| format!("a{number:02}")).collect();
    let rows: Vec<(&str, u64, bool)> = names.iter().map(|vm| (vm.as_str(), 500, false)).collect();
    let mut rich = pool("a", 20, 320_000, 112_000, &[], start);
    rich.drainable = drainable(start, &rows);
    let pools = [rich, pool("b", 4, 64_000, 368_000, &[], start)];
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    // The fair share is 12 of 24 VMs; the pool keeps 1.3 times as many.
    assert_eq!(done.drains.len(), 4);
}
