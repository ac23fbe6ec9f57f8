//! How many more VMs of a wave may go down at once.

/// What an owner knows of a VM of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveVmState {
    /// It is up, and nobody has told it to go.
    Up,
    /// This owner has told it to go, and has not seen it up again.
    Ordered,
    /// The list shows it down, whoever told it to go.
    Down,
    /// It is up as far as the list shows, but an earlier owner may have just told it to go.
    Unconfirmed,
}

/// How many VMs may be told to go, where `most` may be down at once.
pub fn wave_headroom(max_down: usize, vms: impl IntoIterator<Item = WaveVmState>) -> usize {
    let down = vms.into_iter().filter(|vm| *vm != WaveVmState::Up).count();
    max_down.saturating_sub(down)
}
