//! What a new owner knows of the VMs that earlier ones gave orders about.

#[expect(dead_code, reason = "only workers are needed here")]
mod fixture;
#[expect(dead_code, reason = "stops and ends are not looked at here")]
mod harness;

use harness::Harness;
use havenladder_jobs::Holder;
use std::{collections::HashSet, time::Duration};

#[test]
fn a_new_owner_knows_the_vms_that_the_earlier_one_gave_orders_about() {
    let mut harness = Harness::new(&["a1"]);
    let matters = Duration::from_millis(3_000);
    let first_holder = holder(1);
    let second_holder = holder(2);
    let first = harness
        .cell
        .record_vm_orders(["vm-1"], &first_holder, harness.now, matters);
    assert!(
        !harness.cell.are_vm_orders_durable(first),
        "no order before it is durable"
    );
    harness.start_tasks();
    assert!(harness.cell.are_vm_orders_durable(first));
    harness.advance(3_000);
    harness
        .cell
        .record_vm_orders(["vm-2"], &first_holder, harness.now, matters);
    harness.start_tasks();
    harness.take_over();
    assert_eq!(harness.cell.earlier_holder("vm-2"), Some(&first_holder));
    assert_eq!(
        harness.cell.earlier_holder("vm-1"),
        None,
        "that was long ago"
    );
    harness
        .cell
        .record_vm_orders(["vm-3"], &second_holder, harness.now, matters);
    harness.start_tasks();
    harness.take_over();
    assert_eq!(
        harness.cell.earlier_holder("vm-2"),
        Some(&first_holder),
        "owners may follow each other within moments"
    );
    assert_eq!(harness.cell.earlier_holder("vm-3"), Some(&second_holder));
    assert_eq!(harness.cell.earlier_holders().len(), 2);
}

#[test]
fn orders_that_do_not_matter_any_more_are_not_handed_to_the_next_owner() {
    let mut harness = Harness::new(&["a1"]);
    let matters = Duration::from_millis(3_000);
    harness
        .cell
        .record_vm_orders(["vm-1"], &holder(1), harness.now, matters);
    harness.start_tasks();
    harness.advance(3_000);
    harness.start_tasks();
    harness.take_over();
    assert!(harness.cell.earlier_holders().is_empty());
    harness
        .cell
        .record_vm_orders(["vm-2"], &holder(2), harness.now, matters);
    harness.start_tasks();
    harness.take_over();
    harness.cell.forget_earlier_holders();
    harness.start_tasks();
    harness.take_over();
    assert!(harness.cell.earlier_holders().is_empty());
}

fn holder(incarnation: u64) -> Holder {
    Holder {
        incarnation,
        address: format!("10.0.0.{incarnation}:1"),
    }
}

#[test]
fn a_new_owner_spares_the_vms_of_earlier_ones_that_may_still_run() {
    let mut harness = Harness::new(&["a1"]);
    let matters = Duration::from_millis(3_000);
    harness
        .cell
        .record_vm_orders(["vm-1"], &holder(1), harness.now, matters);
    harness.start_tasks();
    harness.take_over();
    let nobody = HashSet::new();
    assert!(harness.cell.must_skip("vm-1", &nobody));
    assert!(!harness.cell.must_skip("vm-2", &nobody));
    assert!(!harness.cell.must_skip("vm-1", &HashSet::from([1])));
    assert!(
        harness.cell.may_be_ordered("vm-1"),
        "its order may be under way though its process has ended"
    );
}

#[test]
fn a_new_owner_spares_all_vms_after_orders_without_a_record() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.mark_all_vms_unconfirmed();
    assert!(harness.cell.must_skip("vm-2", &HashSet::from([1])));
    assert!(harness.cell.may_be_ordered("vm-2"));
    harness.cell.forget_earlier_holders();
    assert!(!harness.cell.must_skip("vm-2", &HashSet::new()));
    assert!(!harness.cell.may_be_ordered("vm-2"));
}
