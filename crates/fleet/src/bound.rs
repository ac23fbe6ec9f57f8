//! How many more VMs of a wave may go down at once.

/// What an owner knows of a VM of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whereabouts {
    /// It is up, and nobody has told it to go.
    Up,
    /// This owner has told it to go, and has not seen it up again.
    Told,
    /// The list shows it down, whoever told it to go.
    Down,
    /// It is up as far as the list shows, but an earlier owner may have just told it to go.
    Doubtful,
}

/// How many VMs may be told to go, where `most` may be down at once.
pub fn room_to_go(most: usize, vms: impl IntoIterator<Item = Whereabouts>) -> usize {
    let away = vms.into_iter().filter(|vm| *vm != Whereabouts::Up).count();
    most.saturating_sub(away)
}
