//! The computed queue in front of the link of a process.

use clock::Instant;
use havenladder_fleet::LinkQueue;
use std::time::Duration;
use yare::parameterized;

/// Bandwidth of a small entry's link, in bits per second.
const BANDWIDTH: f64 = 2_000_000.0;

/// Size of a start in bytes.
const START_BYTES: u64 = 700;

/// Interval at which the queue is updated.
const STEP: Duration = Duration::from_millis(1);

/// Sends starts as fast as the queue admits them for a second. Returns the bytes of starts that were sent, and the
/// longest delay of the queue.
fn send_starts(bandwidth: f64, other_bytes_per_step: u64) -> (u64, Duration) {
    let began = Instant::now();
    let mut queue = LinkQueue::new(Some(bandwidth), began);
    let (mut written, mut started) = (0, 0);
    let mut longest = Duration::ZERO;
    for step in 0..1_000 {
        written += other_bytes_per_step;
        let now = began + STEP * step;
        queue.update(written, now);
        while queue.wait().is_zero() {
            queue.enqueue(START_BYTES);
            queue.reserve(START_BYTES);
            written += START_BYTES;
            started += START_BYTES;
        }
        longest = longest.max(queue.delay());
    }
    (started, longest)
}

#[parameterized(alone = { 0 }, beside_polls = { 40 }, beside_records = { 120 })]
fn starts_leave_the_link_to_other_calls(other_bytes_per_step: u64) {
    let (started, longest) = send_starts(BANDWIDTH, other_bytes_per_step);
    let all = started + other_bytes_per_step * 1_000;
    let carried = (BANDWIDTH / 8.0) as u64;
    assert!(all <= carried, "{all} of {carried} bytes");
    assert!(all >= carried / 10 * 6, "{all} of {carried} bytes");
    assert!(longest < Duration::from_millis(30), "{longest:?}");
}

#[test]
fn starts_wait_until_a_longer_queue_has_passed() {
    let began = Instant::now();
    let mut queue = LinkQueue::new(Some(BANDWIDTH), began);
    queue.update(200_000, began);
    // The link carries 200,000 bytes within 0.8 s, and less beside headers of packets.
    assert!(queue.delay() >= Duration::from_millis(800));
    assert!(queue.wait() >= Duration::from_millis(780));
    queue.update(200_000, began + queue.delay());
    assert_eq!(queue.wait(), Duration::ZERO);
}

#[test]
fn bytes_that_are_reserved_and_then_written_count_once() {
    let began = Instant::now();
    let mut queue = LinkQueue::new(Some(BANDWIDTH), began);
    queue.reserve(100_000);
    queue.update(0, began);
    let reserved = queue.delay();
    queue.update(100_000, began);
    assert_eq!(queue.delay(), reserved);
}

/// Guards against a queue that is longer than the one computed: bytes that were reserved for calls which were then
/// withdrawn hid as many bytes of other calls.
#[test]
fn a_call_that_is_not_sent_hides_no_others() {
    let began = Instant::now();
    let mut queue = LinkQueue::new(Some(BANDWIDTH), began);
    queue.reserve(100_000);
    queue.release(100_000);
    assert_eq!(queue.delay(), Duration::ZERO);
    queue.update(100_000, began);
    let mut other = LinkQueue::new(Some(BANDWIDTH), began);
    other.update(100_000, began);
    assert_eq!(queue.delay(), other.delay());
}

#[test]
fn a_link_of_unknown_bandwidth_has_no_queue() {
    let began = Instant::now();
    let mut queue = LinkQueue::new(None, began);
    queue.reserve(1_000_000);
    queue.update(9_000_000, began);
    assert_eq!(queue.wait(), Duration::ZERO);
}

#[test]
fn starts_get_what_other_calls_leave() {
    let began = Instant::now();
    let mut queue = LinkQueue::new(Some(BANDWIDTH), began);
    let free = queue.waiting_rate();
    for step in 0..5_000 {
        queue.update(u64::from(step) * 50, began + STEP * step);
    }
    let left = free - queue.waiting_rate();
    assert!((45_000.0..51_000.0).contains(&left), "{left}");
    for step in 5_000..8_000 {
        queue.update(u64::from(step - 4_000) * 500, began + STEP * step);
    }
    assert!(queue.waiting_rate() > 0.0, "starts go on");
}
