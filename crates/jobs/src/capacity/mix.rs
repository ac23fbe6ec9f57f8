//! The shapes of the work of a pool, and how much of a VM such work can use.

use super::count_in;
use crate::Need;
use std::collections::BTreeMap;

/// The maximum number of shapes that are distinguished. Those with the least work are left out.
const MAX_SHAPES: usize = 12;

/// The part of the tasks that still fit which is packed at once, so that packing many small tasks takes few steps.
const BATCH_DIVISOR: u64 = 32;

/// The tasks of one class of size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Class {
    /// The work of the tasks, in cores times ms.
    work: f64,
    /// The needs of the tasks, weighted by their work.
    cpu: f64,
    memory: f64,
    gpu: f64,
}

impl Class {
    /// Returns the mean need of the tasks, rounded up.
    fn need(&self) -> Need {
        let mean = |sum: f64| (sum / self.work).ceil() as u64;
        Need {
            cpu: mean(self.cpu).max(1),
            memory: mean(self.memory),
            gpu: mean(self.gpu),
        }
    }
}

/// A mix of tasks by the size of their needs and the amount of their work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mix {
    classes: BTreeMap<(u32, u32, u64), Class>,
}

impl Mix {
    /// Adds tasks of a need with this work, in cores times ms. Tasks without work or without need of a processor do
    /// not count.
    pub fn add(&mut self, need: Need, work: f64) {
        if need.cpu == 0 || !work.is_finite() || work <= 0.0 {
            return;
        }
        // Each class spans a factor of two.
        let key = (need.cpu.ilog2(), need.memory.max(1).ilog2(), need.gpu);
        let class = self.classes.entry(key).or_default();
        class.work += work;
        class.cpu += need.cpu as f64 * work;
        class.memory += need.memory as f64 * work;
        class.gpu += need.gpu as f64 * work;
    }

    /// Returns whether the mix has no tasks.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// Returns the needs of the mix with the most work, each with its work.
    pub(super) fn shapes(&self) -> Vec<(Need, f64)> {
        let classes = self.classes.values();
        let mut shapes: Vec<(Need, f64)> =
            classes.map(|class| (class.need(), class.work)).collect();
        shapes.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        shapes.truncate(MAX_SHAPES);
        shapes
    }
}

/// Returns how many thousandths of a core tasks of these shapes use in a room, if they are packed in proportion to
/// their work until none fits. The result belongs to an actual packing, so that it never exceeds what fits, and it is
/// exact for a single shape. Without shapes, all of the room counts.
pub(super) fn packed_cpu(shapes: &[(Need, f64)], room: Need) -> u64 {
    if shapes.is_empty() {
        return room.cpu;
    }
    let mut free = room;
    let mut packed = vec![0.0; shapes.len()];
    loop {
        let mut next: Option<(f64, usize, u64)> = None;
        for (index, (need, work)) in shapes.iter().enumerate() {
            let count = count_in(*need, free);
            let filled = packed[index] / work;
            if count > 0 && next.is_none_or(|(least, ..)| filled < least) {
                next = Some((filled, index, count));
            }
        }
        let Some((_, index, count)) = next else {
            return room.cpu - free.cpu;
        };
        let batch = (count / BATCH_DIVISOR).max(1);
        let need = shapes[index].0;
        packed[index] += (need.cpu * batch) as f64;
        free.remove(Need {
            cpu: need.cpu * batch,
            memory: need.memory * batch,
            gpu: need.gpu * batch,
        });
    }
}
