//! The cost of keys: applying a change to 65 workspaces with 50 keys each, and looking up wrong keys.
//!
//! Compares applying a change of one workspace with building a new keyring, and looks up a wrong key.

#![expect(missing_docs, reason = "the macros of criterion make public functions")]

use criterion::{Criterion, criterion_group, criterion_main};
use havenladder_workspaces::{Key, Keyring, Workspace};
use jobs::Bound;
use std::{hint::black_box, rc::Rc};

const WORKSPACES: usize = 65;
const KEYS: usize = 50;

fn workspace(number: usize, extra: usize) -> Rc<Workspace> {
    let key = |index: usize| {
        Key::new(&format!("key-{number}-{index}"))
            .expect("a key")
            .digest()
    };
    Rc::new(Workspace {
        id: format!("w{number}"),
        keys: (0..KEYS + extra).map(key).collect(),
        rate: 1.0,
        bound: Bound::NONE,
    })
}

fn bench(c: &mut Criterion) {
    let before: Vec<_> = (0..WORKSPACES).map(|number| workspace(number, 0)).collect();
    let mut after = before.clone();
    after[7] = workspace(7, 1);
    let mut keyring = Keyring::default();
    keyring.replace(&before);
    c.bench_function("fold one change and back", |b| {
        b.iter(|| {
            keyring.replace(black_box(&after));
            keyring.replace(black_box(&before));
        });
    });
    c.bench_function("make the ring anew", |b| {
        b.iter(|| {
            let mut keyring = Keyring::default();
            keyring.replace(black_box(&after));
            keyring
        });
    });
    c.bench_function("read and look up a wrong key", |b| {
        b.iter(|| {
            let key = Key::new(black_box("pqk8bdk9eevyxq2yyaza")).expect("a key");
            keyring.find(&key).is_some()
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
