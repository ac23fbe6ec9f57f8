//! The limit on how many VMs of a wave may be down at once.

use havenladder_fleet::{
    WaveVmState::{Down, Ordered, Unconfirmed, Up},
    wave_headroom,
};

#[test]
fn vms_ordered_down_by_an_earlier_owner_count_against_the_limit() {
    assert_eq!(wave_headroom(3, [Up, Up, Up]), 3);
    assert_eq!(wave_headroom(3, [Up, Ordered, Down]), 1);
    assert_eq!(wave_headroom(3, [Unconfirmed, Ordered, Down]), 0);
    assert_eq!(wave_headroom(1, [Unconfirmed, Ordered, Down]), 0);
}
