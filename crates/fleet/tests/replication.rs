//! Assignment of readers and followers for small and large numbers of entries.

use clock::Instant;
use havenladder_fleet::{
    ASSIGNMENT_TIMEOUT, Admission, FollowerInfo, Followers, MAX_FOLLOWERS, READERS_PER_HALL,
    Readers, STALE_AGE, Source,
};
use std::{collections::BTreeMap, time::Duration};

const WEAK: u64 = 120;
const STRONG: u64 = 1_000;

fn info(number: usize, halls: usize, cpu: u64) -> FollowerInfo {
    FollowerInfo {
        address: format!("10.0.{}.{}:1", number / 250, number % 250),
        hall: format!("hall-{}", number % halls),
        cpu,
        age: Duration::ZERO,
    }
}

/// Assigns sources to `count` entries in `halls` data centres, and lets each entry follow redirects.
/// Returns the number of readers, the maximum number of followers of an entry, and the maximum distance
/// from the platform.
fn grow(count: usize, halls: usize) -> (usize, usize, usize) {
    let now = Instant::now();
    let mut readers = Readers::default();
    let mut followers: BTreeMap<String, Followers> = BTreeMap::new();
    let mut parents: BTreeMap<String, Option<String>> = BTreeMap::new();
    let infos: Vec<FollowerInfo> = (0..count)
        .map(|number| info(number, halls, if number % 8 == 7 { STRONG } else { WEAK }))
        .collect();
    let mut state = 1_u64;
    let mut draw = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) as usize
    };
    // Every entry asks several times, because entries that were replaced by a stronger one are redirected.
    for _ in 0..6 {
        for info in &infos {
            let known = parents.get(&info.address).cloned().flatten();
            let mut source = match known {
                Some(parent) => Source::Entry(parent),
                None => readers.assign(info.clone(), draw(), now),
            };
            while let Source::Entry(parent) = &source {
                let there = followers.entry(parent.clone()).or_default();
                match there.admit(info.clone(), draw(), now) {
                    Admission::Accepted => break,
                    Admission::Redirected(next) => source = Source::Entry(next),
                }
            }
            let parent = match source {
                Source::Platform => None,
                Source::Entry(parent) => Some(parent),
            };
            parents.insert(info.address.clone(), parent);
        }
    }
    let mut widths: BTreeMap<&String, usize> = BTreeMap::new();
    let mut depth = 0;
    for mut parent in parents.values() {
        let mut steps = 0;
        if let Some(at) = parent {
            *widths.entry(at).or_default() += 1;
        }
        while let Some(at) = parent {
            steps += 1;
            assert!(steps < 50, "the assignments form a cycle");
            parent = &parents[at];
        }
        depth = depth.max(steps);
    }
    let read = parents.values().filter(|parent| parent.is_none()).count();
    (read, widths.into_values().max().unwrap_or(0), depth)
}

#[test]
fn the_number_of_readers_does_not_grow_with_the_entries() {
    for count in [50, 586, 1_000, 4_000] {
        let (read, width, depth) = grow(count, 6);
        assert_eq!(read, 6 * READERS_PER_HALL, "{count}");
        assert!(width <= MAX_FOLLOWERS + 1, "{count}: {width}");
        assert!(depth <= 9, "{count}: {depth}");
    }
}

#[test]
fn all_entries_read_if_there_are_few() {
    let (read, ..) = grow(8, 4);
    assert_eq!(read, 8);
}

#[test]
fn strong_entries_replace_weak_readers() {
    let now = Instant::now();
    let mut readers = Readers::default();
    for number in 0..READERS_PER_HALL {
        let place = readers.assign(info(number, 1, WEAK), 0, now);
        assert_eq!(place, Source::Platform);
    }
    let strong = info(9, 1, STRONG);
    assert_eq!(readers.assign(strong.clone(), 0, now), Source::Platform);
    let weak = readers.assign(info(0, 1, WEAK), 1, now);
    assert_ne!(weak, Source::Platform, "a stronger entry has replaced it");
    assert!(readers.addresses(now).contains(&strong.address));
}

#[test]
fn an_entry_isolated_from_the_platform_follows_a_reader() {
    let now = Instant::now();
    let mut readers = Readers::default();
    let isolated = FollowerInfo {
        age: STALE_AGE + Duration::from_millis(1),
        ..info(0, 2, STRONG)
    };
    assert_eq!(
        readers.assign(isolated.clone(), 0, now),
        Source::Platform,
        "there is no entry to follow"
    );
    assert!(readers.addresses(now).is_empty());
    let other = info(1, 2, WEAK);
    readers.assign(other.clone(), 0, now);
    assert_eq!(
        readers.assign(isolated, 0, now),
        Source::Entry(other.address),
        "a reader in another data centre is followed"
    );
}

#[test]
fn assignments_of_silent_entries_are_reused() {
    let now = Instant::now();
    let mut readers = Readers::default();
    for number in 0..READERS_PER_HALL {
        readers.assign(info(number, 1, STRONG), 0, now);
    }
    let late = now + ASSIGNMENT_TIMEOUT;
    assert_eq!(readers.assign(info(9, 1, WEAK), 0, late), Source::Platform);
    assert_eq!(readers.addresses(late).len(), 1);
}
