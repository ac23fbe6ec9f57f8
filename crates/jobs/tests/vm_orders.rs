//! Tests of VM orders: what a new owner knows about the VMs that earlier owners gave orders about.

#[expect(dead_code, reason = "only workers are needed here")]
mod fixture;
#[expect(dead_code, reason = "stops and ends are not tested here")]
mod harness;

use harness::Harness;
use havenladder_jobs::Holder;
use std::{collections::HashSet, time::Duration};

#[test]
fn a_new_owner_knows_the_vms_ordered_by_earlier_owners() {
    let mut harness = Harness::new(&["a1"]);
    let order_validity = Duration::from_millis(3_000);
    let first_holder = holder(1);
    let second_holder = holder(2);
    let first = harness
        .cell
        .record_vm_orders(["vm-1"], &first_holder, harness.now, order_validity);
    assert!(
        !harness.cell.are_vm_orders_durable(first),
        "an order is not sent before its record is durable"
    );
    harness.start_tasks();
    assert!(harness.cell.are_vm_orders_durable(first));
    harness.advance(3_000);
    harness
        .cell
        .record_vm_orders(["vm-2"], &first_holder, harness.now, order_validity);
    harness.start_tasks();
    harness.take_over();
    assert_eq!(harness.cell.earlier_holder("vm-2"), Some(&first_holder));
    assert_eq!(
        harness.cell.earlier_holder("vm-1"),
        None,
        "the order has expired"
    );
    harness
        .cell
        .record_vm_orders(["vm-3"], &second_holder, harness.now, order_validity);
    harness.start_tasks();
    harness.take_over();
    assert_eq!(
        harness.cell.earlier_holder("vm-2"),
        Some(&first_holder),
        "orders outlast several owners in quick succession"
    );
    assert_eq!(harness.cell.earlier_holder("vm-3"), Some(&second_holder));
    assert_eq!(harness.cell.earlier_holders().len(), 2);
}

#[test]
fn expired_orders_are_not_passed_to_the_next_owner() {
    let mut harness = Harness::new(&["a1"]);
    let order_validity = Duration::from_millis(3_000);
    harness
        .cell
        .record_vm_orders(["vm-1"], &holder(1), harness.now, order_validity);
    harness.start_tasks();
    harness.advance(3_000);
    harness.start_tasks();
    harness.take_over();
    assert!(harness.cell.earlier_holders().is_empty());
    harness
        .cell
        .record_vm_orders(["vm-2"], &holder(2), harness.now, order_validity);
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
fn a_new_owner_skips_the_vms_of_earlier_owners_that_may_still_run() {
    let mut harness = Harness::new(&["a1"]);
    let order_validity = Duration::from_millis(3_000);
    harness
        .cell
        .record_vm_orders(["vm-1"], &holder(1), harness.now, order_validity);
    harness.start_tasks();
    harness.take_over();
    let no_ended_holders = HashSet::new();
    assert!(harness.cell.must_skip("vm-1", &no_ended_holders));
    assert!(!harness.cell.must_skip("vm-2", &no_ended_holders));
    assert!(!harness.cell.must_skip("vm-1", &HashSet::from([1])));
    assert!(
        harness.cell.may_be_ordered("vm-1"),
        "an order may still be in flight after the process of its owner has ended"
    );
}

#[test]
fn a_new_owner_skips_all_vms_after_unrecorded_orders() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.mark_all_vms_unconfirmed();
    assert!(harness.cell.must_skip("vm-2", &HashSet::from([1])));
    assert!(harness.cell.may_be_ordered("vm-2"));
    harness.cell.forget_earlier_holders();
    assert!(!harness.cell.must_skip("vm-2", &HashSet::new()));
    assert!(!harness.cell.may_be_ordered("vm-2"));
}

#[test]
fn maintenance_that_an_earlier_owner_ordered_may_begin_until_its_time_is_over() {
    let mut harness = Harness::new(&["a1"]);
    let order_validity = Duration::from_millis(3_000);
    let until = harness.now + Duration::from_millis(13_000);
    let vms = ["vm-1", "vm-2", "vm-3"];
    harness.cell.add_pending_maintenance(vms, until);
    harness
        .cell
        .record_vm_orders(vms, &holder(1), harness.now, order_validity);
    harness.start_tasks();
    harness.cell.settle_maintenance("vm-2");
    harness.advance(5_000);
    harness
        .cell
        .record_vm_orders(["vm-4"], &holder(1), harness.now, order_validity);
    harness.start_tasks();
    for _ in 0..2 {
        harness.take_over();
        let pending = |vm| harness.cell.has_pending_maintenance(vm, harness.now);
        assert_eq!(
            ["vm-1", "vm-2", "vm-3", "vm-4"].map(pending),
            [true, false, true, false]
        );
        harness.cell.set_inherited_maintenance(until);
    }
    harness.cell.settle_maintenance("vm-3");
    assert!(!harness.cell.has_pending_maintenance("vm-3", harness.now));
    harness.advance(8_000);
    assert!(!harness.cell.has_pending_maintenance("vm-1", harness.now));
}
