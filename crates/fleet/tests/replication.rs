//! Which entries read and which follow, at any number of entries.

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

/// Places so many entries of so many data centres, the weak ones first, and sends each to whom it is to follow. Returns how
/// many read, how many each entry is followed by at the most, and how far the last one is from the platform.
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
    // Each asks where it is, again and again: those that have lost their place to a stronger one are sent on.
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
            assert!(steps < 50, "a loop");
            parent = &parents[at];
        }
        depth = depth.max(steps);
    }
    let read = parents.values().filter(|parent| parent.is_none()).count();
    (read, widths.into_values().max().unwrap_or(0), depth)
}

#[test]
fn a_few_read_however_many_there_are() {
    for count in [50, 586, 1_000, 4_000] {
        let (read, width, depth) = grow(count, 6);
        assert_eq!(read, 6 * READERS_PER_HALL, "{count}");
        assert!(width <= MAX_FOLLOWERS + 1, "{count}: {width}");
        assert!(depth <= 9, "{count}: {depth}");
    }
}

#[test]
fn all_read_where_there_are_few() {
    let (read, ..) = grow(8, 4);
    assert_eq!(read, 8);
}

#[test]
fn strong_entries_read_in_place_of_weak_ones() {
    let now = Instant::now();
    let mut readers = Readers::default();
    for number in 0..READERS_PER_HALL {
        let place = readers.assign(info(number, 1, WEAK), 0, now);
        assert_eq!(place, Source::Platform);
    }
    let strong = info(9, 1, STRONG);
    assert_eq!(readers.assign(strong.clone(), 0, now), Source::Platform);
    let weak = readers.assign(info(0, 1, WEAK), 1, now);
    assert_ne!(weak, Source::Platform, "its place is taken");
    assert!(readers.addresses(now).contains(&strong.address));
}

#[test]
fn an_entry_that_the_platform_does_not_answer_follows_one_that_it_does() {
    let now = Instant::now();
    let mut readers = Readers::default();
    let turned_away = FollowerInfo {
        age: STALE_AGE + Duration::from_millis(1),
        ..info(0, 2, STRONG)
    };
    assert_eq!(
        readers.assign(turned_away.clone(), 0, now),
        Source::Platform,
        "there is nobody to follow"
    );
    assert!(readers.addresses(now).is_empty());
    let other = info(1, 2, WEAK);
    readers.assign(other.clone(), 0, now);
    assert_eq!(
        readers.assign(turned_away, 0, now),
        Source::Entry(other.address),
        "one of another data centre will do"
    );
}

#[test]
fn places_of_the_silent_are_given_away() {
    let now = Instant::now();
    let mut readers = Readers::default();
    for number in 0..READERS_PER_HALL {
        readers.assign(info(number, 1, STRONG), 0, now);
    }
    let late = now + ASSIGNMENT_TIMEOUT;
    assert_eq!(readers.assign(info(9, 1, WEAK), 0, late), Source::Platform);
    assert_eq!(readers.addresses(late).len(), 1);
}
