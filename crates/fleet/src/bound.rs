//! The limit on how many VMs of a maintenance wave may be down at once.

/// The state of a VM in a wave, as far as the owner of the cell knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveVmState {
    /// The VM is up and has not been ordered to go down.
    Up,
    /// This owner has ordered the VM to go down and has not seen it up again since.
    Ordered,
    /// The platform lists the VM as down, whoever ordered it.
    Down,
    /// The platform lists the VM as up, but an earlier owner may just have ordered it to go down.
    Unconfirmed,
}

/// Returns how many more VMs may be ordered to go down, if at most `max_down` may be down at once.
pub fn wave_headroom(max_down: usize, vms: impl IntoIterator<Item = WaveVmState>) -> usize {
    let down = vms.into_iter().filter(|vm| *vm != WaveVmState::Up).count();
    max_down.saturating_sub(down)
}
