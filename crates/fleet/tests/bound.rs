//! How many VMs of a wave may go down at once.

use havenladder_fleet::{
    WaveVmState::{Down, Ordered, Unconfirmed, Up},
    wave_headroom,
};

#[test]
fn vms_that_an_earlier_owner_told_to_go_count() {
    assert_eq!(wave_headroom(3, [Up, Up, Up]), 3);
    assert_eq!(wave_headroom(3, [Up, Ordered, Down]), 1);
    assert_eq!(wave_headroom(3, [Unconfirmed, Ordered, Down]), 0);
    assert_eq!(wave_headroom(1, [Unconfirmed, Ordered, Down]), 0);
}
