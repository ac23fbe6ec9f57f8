//! The fold and the planner with 50, 500, 4,000 and 16,000 VMs in 42 pools.

#![expect(
    missing_docs,
    reason = "the macro of the library makes a function without"
)]

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use havenladder_fleet::{
    Change, Fleet, Observation, ObservedState, PathChange, Record, View, WaveChange,
    encode_snapshot, plan,
};
use protocol::{LogRecord, RecordId, encode};
use settings::{diff, read_tree};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The number of pools in the users' requirements.
const POOLS: usize = 42;

const SIZES: [usize; 4] = [50, 500, 4_000, 16_000];

fn time() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000)
}

fn record(offset: u64, changes: Vec<Change>) -> LogRecord {
    let record = Record {
        id: RecordId::from_parts(0, u128::from(offset)),
        by: "entry".into(),
        expires: time() + Duration::from_secs(30),
        changes,
    };
    LogRecord {
        offset,
        at: time(),
        data: encode(&record).expect("the record can be encoded"),
    }
}

fn propose(fleet: &mut Fleet, changes: Vec<Change>) {
    let record = record(fleet.next, changes);
    fleet.apply(&record);
}

fn observed(vm: usize, boot: u64) -> ObservedState {
    let hall = vm % 14;
    ObservedState::Up {
        hall: format!("hall-{hall}"),
        rack: format!("hall-{hall}-rack-{}", vm / 56),
        addr: "127.0.0.1:7000".into(),
        slots: 8,
        boot,
    }
}

fn fleet(vms: usize) -> Fleet {
    let pools: Vec<String> = (0..POOLS)
        .map(|pool| {
            let size = vms.div_ceil(POOLS);
            format!("\"pool-{pool}\": {{ \"vms\": {size}, \"services\": {{ \"a\": {{}}, \"b\": {{}} }} }}")
        })
        .collect();
    let text = format!(
        "{{ \"place\": {{ \"unavailable\": \"15%\", \"pools\": {{ {} }} }} }}",
        pools.join(",")
    );
    let mut fleet = Fleet::default();
    let wanted = read_tree("bench", &text).expect("valid settings");
    let changes = diff(&fleet.tree, &wanted)
        .into_iter()
        .map(|change| PathChange {
            base: 0,
            path: change.path,
            node: change.node,
        });
    let changes = changes.collect();
    propose(&mut fleet, vec![Change::Settings(changes)]);
    let joins = (0..vms).map(|vm| Observation {
        vm: name(vm),
        base: 0,
        seen: observed(vm, 1),
    });
    let joins = joins.collect();
    propose(&mut fleet, vec![Change::Observe(joins)]);
    fleet
}

fn name(vm: usize) -> String {
    format!("vm-{vm:05}")
}

fn scale(criterion: &mut Criterion) {
    for vms in SIZES {
        let mut fleet = fleet(vms);
        let snapshot = encode_snapshot(&fleet).expect("the state can be encoded");
        println!("{vms} VMs: a snapshot of {} bytes", snapshot.len());
        let restart = |vm: usize| Observation {
            vm: name(vm),
            base: fleet.vms[&name(vm)].version,
            seen: observed(vm, 2),
        };
        let one = record(fleet.next, vec![Change::Observe(vec![restart(1)])]);
        criterion.bench_with_input(BenchmarkId::new("fold-restart", vms), &one, |bench, one| {
            bench.iter_batched_ref(
                || StateCopy::of(&fleet),
                |copy| copy.apply(one),
                BatchSize::LargeInput,
            );
        });
        propose(
            &mut fleet,
            vec![Change::Wave(WaveChange::Start {
                scope: "place".into(),
            })],
        );
        let live: BTreeMap<String, String> = (0..112)
            .map(|entry| (format!("entry-{entry}"), format!("hall-{}", entry % 14)))
            .collect();
        let planner = protocol::ranked(live.keys().map(String::as_str), "planner")[0];
        let view = View {
            entry: planner,
            live: &live,
            now: time(),
            lease: Duration::from_secs(20),
        };
        criterion.bench_with_input(BenchmarkId::new("plan-wave", vms), &vms, |bench, _| {
            bench.iter(|| plan(&fleet, &view).len());
        });
    }
}

/// A copy of the state to which a record is applied.
struct StateCopy(Fleet);

impl StateCopy {
    fn of(fleet: &Fleet) -> Self {
        Self(fleet.clone())
    }

    fn apply(&mut self, record: &LogRecord) -> usize {
        self.0.apply(record).len()
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).without_plots();
    targets = scale
}
criterion_main!(benches);
