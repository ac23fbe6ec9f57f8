//! Which VMs change their pool.

use clock::Instant;
use havenladder_fleet::{
    IdleVm, LooseVm, PoolDemand, Resize, Shift, SizingLimits, resize, used_vms,
};
use std::time::Duration;

fn pool(
    name: &str,
    vms: usize,
    busy: u64,
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
        room: 16_000,
        busy,
        running: busy,
        waiting,
        least: 0,
        unknown: false,
        inflow: 0,
        ahead: 0,
        late: 0,
        idle,
        loose: Vec::new(),
    }
}

fn shift(vm: &str, from: &str, to: &str) -> Shift {
    Shift {
        vm: vm.to_owned(),
        from: from.to_owned(),
        to: to.to_owned(),
    }
}

fn shifts(pools: &[PoolDemand], now: Instant, limits: &SizingLimits) -> Vec<Shift> {
    resize(pools, 0, now, limits).shifts
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
    let moves = shifts(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(
        moves,
        [
            shift("b1", "b", "a"),
            shift("r1", "reserve", "a"),
            shift("r2", "reserve", "a")
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
    assert!(shifts(&pools, later(start, 9_000), &SizingLimits::default()).is_empty());
}

#[test]
fn an_idle_vm_goes_to_the_reserve_once_it_has_been_idle_for_long() {
    let start = Instant::now();
    let pools = [
        pool("a", 3, 9_000, 0, &["a1", "a2"], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    let limits = SizingLimits::default();
    assert!(shifts(&pools, later(start, 1_400), &limits).is_empty());
    let moves = shifts(&pools, later(start, 1_500), &limits);
    assert_eq!(
        moves,
        [shift("a1", "a", "reserve"), shift("a2", "a", "reserve")]
    );
}

#[test]
fn the_last_vm_of_a_pool_stays() {
    let start = Instant::now();
    let pools = [
        pool("a", 1, 0, 0, &["a1"], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    assert!(shifts(&pools, later(start, 9_000), &SizingLimits::default()).is_empty());
}

#[test]
fn a_pool_keeps_the_vms_over_which_its_tasks_are_spread() {
    let start = Instant::now();
    let mut spread = pool("a", 3, 0, 0, &["a1", "a2", "a3"], start);
    spread.least = 2;
    let mut short = pool("b", 1, 0, 0, &[], start);
    short.least = 3;
    let pools = [spread, short, pool("reserve", 1, 0, 0, &["r1"], start)];
    let moves = shifts(&pools, later(start, 9_000), &SizingLimits::default());
    assert_eq!(moves, [shift("a1", "a", "b"), shift("r1", "reserve", "b")]);
}

#[test]
fn a_pool_whose_demand_is_not_known_yet_keeps_a_part_of_an_equal_share() {
    let start = Instant::now();
    let mut unknown = pool("a", 5, 0, 0, &["a1", "a2", "a3", "a4", "a5"], start);
    unknown.unknown = true;
    // Ten VMs and two pools that serve: five each, of which seven tenths stay.
    let pools = [
        unknown,
        pool("b", 5, 72_000, 0, &[], start),
        pool("reserve", 0, 0, 0, &[], start),
    ];
    let moves = shifts(&pools, later(start, 9_000), &SizingLimits::default());
    assert_eq!(moves, [shift("a1", "a", "reserve")]);
}

#[test]
fn a_pool_grows_with_the_jobs_that_come_before_any_of_them_waits() {
    let start = Instant::now();
    let mut rising = pool("a", 1, 8_000, 0, &[], start);
    rising.inflow = 20_000;
    let pools = [rising, pool("reserve", 1, 0, 0, &["r1"], start)];
    let moves = shifts(&pools, later(start, 1), &SizingLimits::default());
    assert_eq!(moves, [shift("r1", "reserve", "a")]);
}

#[test]
fn a_pool_gets_the_vms_for_what_is_foreseen_and_keeps_them() {
    let start = Instant::now();
    let mut rising = pool("a", 1, 8_000, 0, &[], start);
    (rising.inflow, rising.ahead) = (8_000, 20_000);
    let reserve = pool("reserve", 1, 0, 0, &["r1"], start);
    let moves = shifts(
        &[rising, reserve],
        later(start, 1),
        &SizingLimits::default(),
    );
    assert_eq!(moves, [shift("r1", "reserve", "a")]);
    let mut there = pool("a", 2, 8_000, 0, &["a1"], start);
    there.ahead = 20_000;
    let reserve = pool("reserve", 0, 0, 0, &[], start);
    let idle = later(start, 10_000);
    assert!(shifts(&[there, reserve], idle, &SizingLimits::default()).is_empty());
}

#[test]
fn a_pool_with_a_few_tasks_that_wait_still_gives_away_what_it_does_not_need() {
    let start = Instant::now();
    let pools = [
        pool("a", 1, 16_000, 20_000, &[], start),
        pool("b", 5, 8_000, 1_000, &["b1", "b2"], start),
    ];
    let moves = shifts(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(moves, [shift("b1", "b", "a"), shift("b2", "b", "a")]);
}

/// VMs that carry work which ends by itself.
fn loose(start: Instant, rows: &[(&str, u64, bool)]) -> Vec<LooseVm> {
    let vm = |(vm, free, draining): &(&str, u64, bool)| LooseVm {
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
    let moves = shifts(&pools, later(start, 1_000), &SizingLimits::default());
    assert_eq!(moves, [shift("b1", "b", "a")]);
}

#[test]
fn vms_that_are_free_first_are_emptied_for_a_pool_whose_jobs_wait() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &[]);
    pools[1].loose = loose(
        start,
        &[
            ("b1", 9_000, false),
            ("b2", 3_000, false),
            ("b3", 15_000, false),
        ],
    );
    let done = resize(&pools, 0, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done.drains, ["b2", "b1", "b3"]);
    assert!(done.shifts.is_empty());
}

#[test]
fn a_vm_that_is_being_emptied_is_not_given_up_for_another() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &[]);
    pools[1].loose = loose(
        start,
        &[
            ("b1", 9_000, true),
            ("b2", 3_000, false),
            ("b3", 4_000, true),
        ],
    );
    let done = resize(&pools, 0, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done.drains, ["b3", "b1", "b2"]);
}

#[test]
fn nothing_is_emptied_for_work_that_is_late_or_only_expected() {
    let start = Instant::now();
    let mut pools = starving_and_rich(start, &["b1"]);
    pools[0].late = 100_000;
    pools[0].inflow = 500_000;
    pools[1].loose = loose(start, &[("b2", 3_000, false)]);
    let done = resize(&pools, 0, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}

#[test]
fn a_pool_that_lacks_vms_itself_is_not_emptied() {
    let start = Instant::now();
    let mut pools = [
        pool("a", 2, 30_000, 300_000, &[], start),
        pool("b", 6, 96_000, 100_000, &[], start),
    ];
    pools[1].loose = loose(start, &[("b1", 3_000, false)]);
    let done = resize(&pools, 0, later(start, 1_000), &SizingLimits::default());
    assert_eq!(done, Resize::default());
}

#[test]
fn vms_that_were_in_use_of_late_are_kept_for_the_next_peak() {
    let start = Instant::now();
    let limits = SizingLimits::default();
    let pools = [
        pool("a", 5, 16_000, 0, &["a1", "a2", "a3"], start),
        pool("reserve", 2, 0, 0, &["r1"], start),
    ];
    let moves = |recent, ms| resize(&pools, recent, later(start, ms), &limits).shifts;
    let to_reserve = |vm| shift(vm, "a", "reserve");
    assert_eq!(
        moves(1, 2_000),
        ["a1", "a2", "a3"].map(to_reserve),
        "no more than one was in use"
    );
    assert_eq!(moves(4, 2_000), [to_reserve("a1")]);
    assert_eq!(moves(5, 2_000), []);
    assert_eq!(moves(5, 6_000), ["a1", "a2", "a3"].map(to_reserve));
}

/// Plays pools that have their peaks in turn, each for some seconds, in which it uses so many VMs. Returns the moves that
/// were made, and the seconds of VMs in pools.
fn play_turns(limits: &SizingLimits, turns: usize, peak: usize) -> (usize, f64) {
    const STEP: u64 = 500;
    const TURN: u64 = 4_500;
    /// How long what came last in a turn is at work.
    const TAIL: u64 = 2_000;
    let start = Instant::now();
    let names = ["a", "b", "c", "reserve"];
    // Where each VM is, and since when it is idle.
    let mut vms: Vec<(usize, Instant)> = (0..3 * peak).map(|_| (3, start)).collect();
    let (mut moves, mut seconds) = (0, 0.0);
    let mut used = Vec::new();
    for step in 0..turns as u64 * TURN / STEP {
        let now = later(start, step * STEP);
        let turn = (step * STEP / TURN) as usize % 3;
        let before = (step * STEP).saturating_sub(TAIL) / TURN;
        let before = before as usize % 3;
        let mut pools: Vec<PoolDemand> = Vec::new();
        for (place, name) in names.iter().enumerate() {
            let there = vms.iter().filter(|(at, _)| *at == place).count();
            let need = if place == turn || place == before {
                peak
            } else {
                0
            };
            let at_work = need.min(there);
            let mut named = pool(name, there, at_work as u64 * 13_000, 0, &[], now);
            named.waiting = (need - at_work) as u64 * 14_000;
            let mut busy = at_work;
            for (number, (at, since)) in vms.iter_mut().enumerate() {
                if *at != place {
                    continue;
                }
                if busy > 0 {
                    busy -= 1;
                    *since = now;
                } else {
                    named.idle.push(IdleVm {
                        vm: number.to_string(),
                        since: *since,
                    });
                }
            }
            named.idle.sort_by_key(|vm| vm.since);
            pools.push(named);
        }
        used.push(used_vms(&pools, limits));
        let recent = used
            .iter()
            .rev()
            .take((limits.hold.as_millis() as u64 / STEP) as usize);
        let done = resize(&pools, recent.copied().max().unwrap_or(0), now, limits);
        for shift in done.shifts {
            moves += 1;
            let to = names.iter().position(|name| *name == shift.to).unwrap_or(3);
            vms[shift.vm.parse::<usize>().unwrap_or(0)] = (to, now);
        }
        let in_pools = vms.iter().filter(|(at, _)| *at != 3).count();
        seconds += in_pools as f64 * STEP as f64 / 1_000.0;
    }
    (moves, seconds)
}

#[test]
fn peaks_in_turn_take_one_move_a_vm_and_turn_at_any_size() {
    let limits = SizingLimits::default();
    let without = SizingLimits {
        hold: limits.rest,
        ..limits.clone()
    };
    for peak in [10, 100, 400] {
        let (moves, seconds) = play_turns(&limits, 12, peak);
        let (before, least) = play_turns(&without, 12, peak);
        assert!(
            moves <= 12 * (peak + peak / 5 + 2),
            "{peak}: {moves} moves, {before} without"
        );
        assert!(
            before > moves * 3 / 2,
            "{peak}: {moves} moves, {before} without"
        );
        assert!(
            seconds < 2.0 * least,
            "{peak}: {seconds} s, {least} without"
        );
    }
}
