//! How many VMs of a wave may go down at once.

use havenladder_fleet::{
    Whereabouts::{Doubtful, Down, Told, Up},
    room_to_go,
};

#[test]
fn vms_that_an_earlier_owner_told_to_go_count() {
    assert_eq!(room_to_go(3, [Up, Up, Up]), 3);
    assert_eq!(room_to_go(3, [Up, Told, Down]), 1);
    assert_eq!(room_to_go(3, [Doubtful, Told, Down]), 0);
    assert_eq!(room_to_go(1, [Doubtful, Told, Down]), 0);
}
