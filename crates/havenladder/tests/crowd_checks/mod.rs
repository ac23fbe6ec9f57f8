//! Checks of a process that serves a crowd of misbehaving clients: its memory and its sockets while they are there.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses only some of these items"
)]

use havenladder_soak::{
    crowd::{Crowd, Return, Shape, Target},
    usage::{Unread, Usage},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering::Relaxed},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tokio::{sync::oneshot, time};

/// Limit of every wait. It is generous, so that no test fails because the machine is busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Lets one test of this kind run at a time, so that none of them measures the load of another one.
pub fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    // A test that has failed leaves nothing behind that affects the next one.
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The most that a process has used at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    /// Resident memory in bytes.
    pub memory: u64,
    /// Resident memory and the bytes that had arrived but had not been read.
    pub memory_with_unread: u64,
    /// Open sockets.
    pub sockets: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Looks at a process until it is dropped.
pub struct Monitor {
    worst: Arc<Mutex<Worst>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Monitor {
    /// Starts to look at a process and at the queue of one of its listeners.
    pub fn start(process: u32, listener: SocketAddr) -> Self {
        let worst = Arc::new(Mutex::new(Worst::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared, stopped) = (Arc::clone(&worst), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            while !stopped.load(Relaxed) {
                if let Ok(usage) = Usage::read(process) {
                    let unread = Unread::read(listener).unwrap().arrived;
                    shared.lock().unwrap().record(&usage, unread);
                }
                thread::sleep(LOOK_INTERVAL);
            }
        });
        Monitor {
            worst,
            stop,
            thread: Some(thread),
        }
    }

    /// Returns the most that the process has used so far.
    pub fn worst(&self) -> Worst {
        *self.worst.lock().unwrap()
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that has panicked has already reported why.
            let _ = thread.join();
        }
    }
}

impl Worst {
    fn record(&mut self, usage: &Usage, unread: u64) {
        self.memory = self.memory.max(usage.peak);
        self.memory_with_unread = self.memory_with_unread.max(usage.resident + unread);
        self.sockets = self.sockets.max(usage.sockets);
        self.descriptors = self.descriptors.max(usage.descriptors);
    }
}

/// A crowd with a thread of its own, for tests that block theirs.
pub struct CrowdThread {
    dismiss: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl CrowdThread {
    /// Starts a crowd, and returns once all that it sends has been sent and read. Clients that cannot connect are waited
    /// for [`READ_TIME`].
    pub fn gather(target: Target, shape: Shape, clients: usize, comes_again: Return) -> Self {
        let (dismiss, dismissed) = oneshot::channel();
        let (settled, is_settled) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let crowd = Crowd::gather(&target, shape, clients, comes_again);
                // Clients that have not settled go on beside the test.
                let _ = time::timeout(READ_TIME, crowd.wait_settled()).await;
                wait_until_read(target.address).await;
                settled.send(()).unwrap();
                // A test that has failed dismisses the crowd as well.
                let _ = dismissed.await;
                crowd.dismiss().await;
            });
        });
        is_settled.recv_timeout(WAIT_TIMEOUT).unwrap();
        CrowdThread {
            dismiss: Some(dismiss),
            thread: Some(thread),
        }
    }
}

impl Drop for CrowdThread {
    fn drop(&mut self) {
        drop(self.dismiss.take());
        if let Some(thread) = self.thread.take() {
            // A thread that has panicked has already reported why.
            let _ = thread.join();
        }
    }
}

/// Time after which bytes that have not been read are taken to stay unread.
const READ_TIME: Duration = Duration::from_secs(10);

/// Waits until the process of a listener has read all that was sent to it, unless it does not read it at all.
pub async fn wait_until_read(listener: SocketAddr) {
    let limit = Instant::now() + READ_TIME;
    while Instant::now() < limit && Unread::read(listener).unwrap() != Unread::default() {
        time::sleep(Duration::from_millis(20)).await;
    }
}
