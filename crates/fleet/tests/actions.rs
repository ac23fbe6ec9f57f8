//! The next step of a grant's holder, from what it observes of the VM.

mod fixture;

use fixture::{Fixture, only_entry};
use havenladder_fleet::{
    Action, Change, Evidence, GrantPurpose, Outcome, VmObservation, next_action,
};
use yare::parameterized;

/// Returns a fleet in which the grant of the VM has begun.
fn begun(purpose: GrantPurpose) -> Fixture {
    let mut fixture = Fixture::new(8);
    fixture.grant("vm-0", purpose);
    let grant = fixture.grant_id("vm-0");
    let vm = "vm-0".into();
    assert_eq!(
        fixture.propose(Change::Begin { vm, grant }),
        Outcome::Applied
    );
    fixture
}

/// Returns the next action of the holder of the grant of the VM.
fn next(fixture: &Fixture, observed: VmObservation) -> Action {
    let vm = &fixture.fleet.vms["vm-0"];
    let grant = vm.grant.as_ref().expect("the VM has a grant");
    let evidence = Evidence {
        observation: Some(observed),
        unrecorded_down: 0,
    };
    next_action(
        &fixture.fleet,
        vm,
        grant,
        &evidence,
        &fixture.view(&only_entry()),
    )
}

/// Returns an observation of the VM that has the token of the given call of its grant: of the drain, or of the operation.
fn observed(fixture: &Fixture, boot: u64, drained: bool, operated: bool) -> VmObservation {
    let vm = &fixture.fleet.vms["vm-0"];
    let grant = vm.grant.as_ref().expect("the VM has a grant");
    VmObservation {
        boot,
        up: true,
        drained,
        running: 0,
        pool: vm.pool.clone(),
        token: if operated { grant.token } else { grant.id },
    }
}

/// Guards against a VM that stays out of service without being charged: a rack came back just before the VM was drained
/// for its reboot, that boot was taken for the reboot, and the grant ended while the VM was drained. Another VM
/// was taken out meanwhile.
#[parameterized(
    drained_after_the_boot = { true, false },
    drained_again_after_the_operation = { true, true },
    drain_call_in_flight = { false, false },
)]
fn a_vm_that_something_else_booted_is_undrained_before_its_grant_ends(
    drained: bool,
    operated: bool,
) {
    let fixture = begun(GrantPurpose::Reboot);
    let seen = observed(&fixture, 2, drained, operated);
    assert_eq!(next(&fixture, seen), Action::Undrain);
}

#[test]
fn a_rebooted_vm_ends_its_grant() {
    let fixture = begun(GrantPurpose::Reboot);
    let seen = observed(&fixture, 2, false, true);
    assert_eq!(next(&fixture, seen), Action::Finish(2));
}

#[parameterized(
    drained = { true, true },
    drain_call_in_flight = { false, false },
)]
fn a_vm_that_is_in_its_pool_already_is_assigned_before_its_grant_ends(
    drained: bool,
    operated: bool,
) {
    let to = "spare".to_owned();
    let fixture = begun(GrantPurpose::Move { to: to.clone() });
    let mut seen = observed(&fixture, 1, drained, operated);
    seen.pool.clone_from(&to);
    assert_eq!(next(&fixture, seen), Action::Assign(to));
}
