//! The queue of bytes in front of the link of a process.
//!
//! A process that writes more than its link carries cannot see the queue that forms, since its sockets accept the
//! bytes. All its calls then wait: renewals of the lease, polls and responses behind starts that could wait. The
//! queue is therefore computed from what was written and from the link's bandwidth, and calls that can wait are sent
//! only while it is short.

use clock::Instant;
use std::time::Duration;

/// The share of the bandwidth that is planned with. The rest is for headers of packets, acknowledgements and lost
/// packets, of which a process knows nothing: most calls are small, so that headers add a quarter to their bytes.
const USABLE_SHARE: f64 = 0.65;

/// The longest queue, as the time that the link takes for it, in front of which a call that can wait is sent. It is
/// short beside the response times of a healthy worker or store, which are some ms.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// The time over which the rate of the calls that cannot wait is measured.
const RATE_WINDOW: Duration = Duration::from_millis(250);

/// The weight of one such window in the moving mean of the rate.
const RATE_WEIGHT: f64 = 0.25;

/// The smallest share of the usable bandwidth that calls which can wait get. They go on, however much else there is.
const MIN_WAITING_SHARE: f64 = 0.1;

/// The queue of bytes in front of a link, and the calls that wait until it is short.
#[derive(Clone, Copy, Debug)]
pub struct LinkQueue {
    /// Bytes that the link carries per second; infinite if the bandwidth is unknown.
    rate: f64,
    /// Bytes in the queue at `updated_at`.
    bytes: f64,
    updated_at: Instant,
    /// Bytes that the process has written, except for those reserved, as far as they are counted.
    counted: u64,
    /// Bytes that have been reserved.
    reserved: u64,
    /// Bytes of the calls that wait.
    waiting: u64,
    /// Bytes per second of the calls that cannot wait.
    other_rate: f64,
    /// Begin of the window in which this rate is measured, and the bytes counted until then.
    window: (Instant, u64),
}

impl LinkQueue {
    /// Returns the empty queue in front of a link of this bandwidth, in bits per second; `None` if it is unknown.
    pub fn new(bandwidth: Option<f64>, now: Instant) -> Self {
        let rate = bandwidth.map_or(f64::INFINITY, |bits| bits / 8.0 * USABLE_SHARE);
        LinkQueue {
            rate,
            bytes: 0.0,
            updated_at: now,
            counted: 0,
            reserved: 0,
            waiting: 0,
            other_rate: 0.0,
            window: (now, 0),
        }
    }

    /// Updates the queue. `written` is the number of bytes that the process has written since it started, including
    /// those of reserved calls.
    pub fn update(&mut self, written: u64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        // Bytes that are reserved but not yet written must not hide others.
        let counted = written.saturating_sub(self.reserved).max(self.counted);
        self.bytes += (counted - self.counted) as f64;
        self.counted = counted;
        self.measure_rate(now);
        if self.rate.is_finite() {
            self.bytes = (self.bytes - self.rate * elapsed.as_secs_f64()).max(0.0);
        } else {
            self.bytes = 0.0;
        }
    }

    /// Updates the rate of the calls that cannot wait, at the end of each window.
    fn measure_rate(&mut self, now: Instant) {
        let (began, before) = self.window;
        let elapsed = now.saturating_duration_since(began);
        if elapsed >= RATE_WINDOW {
            let rate = (self.counted - before) as f64 / elapsed.as_secs_f64();
            self.other_rate += (rate - self.other_rate) * RATE_WEIGHT;
            self.window = (now, self.counted);
        }
    }

    /// Returns the time that the link takes for the queue.
    pub fn delay(&self) -> Duration {
        if self.bytes <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.bytes / self.rate)
    }

    /// Returns how long a call that can wait has to wait.
    pub fn wait(&self) -> Duration {
        self.delay().saturating_sub(MAX_DELAY)
    }

    /// Adds a call of this many bytes that waits.
    pub fn enqueue(&mut self, bytes: u64) {
        self.waiting += bytes;
    }

    /// Adds a call of this many bytes, which has waited, and is about to be written.
    pub fn reserve(&mut self, bytes: u64) {
        self.reserved += bytes;
        self.bytes += bytes as f64;
        self.waiting = self.waiting.saturating_sub(bytes);
    }

    /// Takes back a reservation of this many bytes, since the call is not sent after all.
    pub fn release(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_sub(bytes);
        self.bytes = (self.bytes - bytes as f64).max(0.0);
    }

    /// Returns the bytes of the calls that wait.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Returns how many bytes of calls that can wait the link takes per second; infinite if the bandwidth is unknown.
    pub fn waiting_rate(&self) -> f64 {
        (self.rate - self.other_rate).max(self.rate * MIN_WAITING_SHARE)
    }
}
