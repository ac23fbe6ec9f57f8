//! Which VMs change their pool.

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
fn a_pool_whose_jobs_wait_gets_idle_vms_of_others_before_those_of_the_reserve() {
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
fn an_idle_vm_goes_to_the_reserve_once_it_has_been_idle_for_long() {
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
fn a_pool_whose_demand_is_not_known_yet_keeps_a_part_of_an_equal_share() {
    let start = Instant::now();
    let mut demand_unknown = pool("a", 5, 0, 0, &["a1", "a2", "a3", "a4", "a5"], start);
    demand_unknown.demand_unknown = true;
    // Ten VMs and two pools that serve: five each, of which seven tenths stay.
    let pools = [
        demand_unknown,
        pool("b", 5, 72_000, 0, &[], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    let moves = plan_moves(&pools, later(start, 9_000), &SizingLimits::default());
    assert_eq!(moves, [vm_move("a1", "a", "reserve")]);
}

#[test]
fn a_pool_grows_with_the_jobs_that_come_before_any_of_them_waits() {
    let start = Instant::now();
    let mut rising = pool("a", 1, 8_000, 0, &[], start);
    rising.inflow = 20_000;
    let pools = [rising, pool("reserve", 1, 0, 0, &["r1"], start)];
    let moves = plan_moves(&pools, later(start, 1), &SizingLimits::default());
    assert_eq!(moves, [vm_move("r1", "reserve", "a")]);
}

#[test]
fn a_pool_gets_the_vms_for_what_is_foreseen_and_keeps_them() {
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
fn a_pool_with_a_few_tasks_that_wait_still_gives_away_what_it_does_not_need() {
    let start = Instant::now();
    let pools = [
        pool("a", 1, 16_000, 20_000, &[], start),
        pool("b", 5, 8_000, 1_000, &["b1", "b2"], start),
    ];
    let moves = plan_moves(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(moves, [vm_move("b1", "b", "a"), vm_move("b2", "b", "a")]);
}

/// VMs that carry work which ends by itself.
fn drainable(start: Instant, rows: &[(&str, u64, bool)]) -> Vec<DrainableVm> {
    let vm = |(vm, free, draining): &(&str, u64, bool)| DrainableVm {
        vm: (*vm).to_owned(),
        free: later(start, *free),
        draining: *draining,
    };
    rows.iter().map(vm).collect()
}

/// A pool whose jobs wait, and one that has more than its part but likely needs it.
fn starving_and_rich(start: Instant, idle: &[&str]) -> [PoolDemand; 2] {
    [
        pool("a", 2, 30_000, 100_000, &[], start),
        pool("b", 6, 80_000, 0, idle, start),
    ]
}

#[test]
fn a_pool_whose_jobs_wait_gets_idle_vms_of_a_busy_pool_that_has_more_than_its_part() {
    let start = Instant::now();
    let pools = starving_and_rich(start, &["b1"]);
    let moves = plan_moves(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(moves, [vm_move("b1", "b", "a")]);
}

#[test]
fn vms_that_are_free_first_are_emptied_for_a_pool_whose_jobs_wait() {
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
fn a_vm_that_is_being_emptied_is_not_given_up_for_another() {
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
fn nothing_is_emptied_for_work_that_is_late_or_only_expected() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &["b1"]);
    pools[0].late = 100_000;
    pools[0].inflow = 500_000;
    pools[1].drainable = drainable(start, &[("b2", 3_000, false)]);
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}

#[test]
fn a_pool_that_lacks_vms_itself_is_not_emptied() {
    let start = Instant::now();
    let mut pools = [
        pool("a", 2, 30_000, 300_000, &[], start),
        pool("b", 6, 96_000, 100_000, &[], start),
    ];
    pools[1].drainable = drainable(start, &[("b1", 3_000, false)]);
    let done = resize(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}
