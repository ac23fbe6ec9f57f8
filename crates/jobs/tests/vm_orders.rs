//! What a new owner knows of the VMs that earlier ones gave orders about.

#[expect(dead_code, reason = "only workers are needed here")]
mod fixture;
#[expect(dead_code, reason = "stops and ends are not looked at here")]
mod world;

use havenladder_jobs::Holder;
use std::{collections::HashSet, time::Duration};
use world::World;

#[test]
fn a_new_owner_knows_the_vms_that_the_earlier_one_gave_orders_about() {
    let mut world = World::new(&["a1"]);
    let matters = Duration::from_millis(3_000);
    let first_holder = holder(1);
    let second_holder = holder(2);
    let first = world
        .cell
        .record_vm_orders(["vm-1"], &first_holder, world.now, matters);
    assert!(
        !world.cell.are_vm_orders_durable(first),
        "no order before it is durable"
    );
    world.run();
    assert!(world.cell.are_vm_orders_durable(first));
    world.pass(3_000);
    world
        .cell
        .record_vm_orders(["vm-2"], &first_holder, world.now, matters);
    world.run();
    world.take_over();
    assert_eq!(world.cell.earlier_holder("vm-2"), Some(&first_holder));
    assert_eq!(world.cell.earlier_holder("vm-1"), None, "that was long ago");
    world
        .cell
        .record_vm_orders(["vm-3"], &second_holder, world.now, matters);
    world.run();
    world.take_over();
    assert_eq!(
        world.cell.earlier_holder("vm-2"),
        Some(&first_holder),
        "owners may follow each other within moments"
    );
    assert_eq!(world.cell.earlier_holder("vm-3"), Some(&second_holder));
    assert_eq!(world.cell.earlier_holders().len(), 2);
}

#[test]
fn orders_that_do_not_matter_any_more_are_not_handed_to_the_next_owner() {
    let mut world = World::new(&["a1"]);
    let matters = Duration::from_millis(3_000);
    world
        .cell
        .record_vm_orders(["vm-1"], &holder(1), world.now, matters);
    world.run();
    world.pass(3_000);
    world.run();
    world.take_over();
    assert!(world.cell.earlier_holders().is_empty());
    world
        .cell
        .record_vm_orders(["vm-2"], &holder(2), world.now, matters);
    world.run();
    world.take_over();
    world.cell.forget_earlier_holders();
    world.run();
    world.take_over();
    assert!(world.cell.earlier_holders().is_empty());
}

fn holder(incarnation: u64) -> Holder {
    Holder {
        incarnation,
        address: format!("10.0.0.{incarnation}:1"),
    }
}

#[test]
fn a_new_owner_spares_the_vms_of_earlier_ones_that_may_still_run() {
    let mut world = World::new(&["a1"]);
    let matters = Duration::from_millis(3_000);
    world
        .cell
        .record_vm_orders(["vm-1"], &holder(1), world.now, matters);
    world.run();
    world.take_over();
    let nobody = HashSet::new();
    assert!(world.cell.must_skip("vm-1", &nobody));
    assert!(!world.cell.must_skip("vm-2", &nobody));
    assert!(!world.cell.must_skip("vm-1", &HashSet::from([1])));
    assert!(
        world.cell.may_be_ordered("vm-1"),
        "its order may be under way though its process has ended"
    );
}

#[test]
fn a_new_owner_spares_all_vms_after_orders_without_a_record() {
    let mut world = World::new(&["a1"]);
    world.cell.mark_all_vms_unconfirmed();
    assert!(world.cell.must_skip("vm-2", &HashSet::from([1])));
    assert!(world.cell.may_be_ordered("vm-2"));
    world.cell.forget_earlier_holders();
    assert!(!world.cell.must_skip("vm-2", &HashSet::new()));
    assert!(!world.cell.may_be_ordered("vm-2"));
}
