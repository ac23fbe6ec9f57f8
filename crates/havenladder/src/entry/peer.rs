//! What entries ask of the cell's owner, over HTTP with MessagePack.

use super::{
    in_force::{Caller, RawConfig},
    lease_record::append_release,
    listen::{self, Reply, accept_each},
    node::{Lease, Node},
    outage,
    reach::{self, Presence},
    replication, replication_server,
};
use adapter::{
    http::{Call, CallError, Connection},
    operator::Version,
};
use clock::Instant;
use fleet::{MilliCpu, Seeker, Source};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Response, StatusCode, body::Incoming};
use jobs::{Evacuations, JobId, Phase, QueueId, Submission};
use serde::{Deserialize, Serialize};
use std::{fmt, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// The path of a question.
const PATH: &str = "/ask";

/// The longest question: a job's body may have 262,144 bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// What a caller wants.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallerOperation {
    /// Take this job.
    Submit {
        /// The job.
        #[serde(rename = "given")]
        submission: Submission,
        /// For how many ms its record may be waited for.
        #[serde(rename = "within")]
        timeout_ms: u64,
    },
    /// Cancel this job.
    Cancel(JobId),
    /// How far is this job?
    State(JobId),
    /// How many jobs of the queue have not begun?
    Pending,
}

/// A caller's wish, as the entry that took the call has judged it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Who makes the call. Keys stay at the entry that takes it.
    pub caller: Caller,
    /// The queue that was called.
    pub queue: QueueId,
    /// The configuration by which the call was judged: an owner that knows a newer one has it judged anew.
    pub version: Version,
    /// What the caller wants.
    #[serde(rename = "wish")]
    pub operation: CallerOperation,
}

/// A question for the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Do this for a caller.
    #[serde(rename = "For")]
    Caller(Box<CallerRequest>),
    /// Will you hand the cell over to this entry, which has so much of a core?
    HandOver {
        /// Its part of a core.
        cpu: MilliCpu,
    },
    /// Append this record for me, with which I give the cell up: the store does not answer me.
    Release(Box<Lease>),
    /// Which life of the process are you, in which data centre? Any entry answers this at once.
    #[serde(rename = "Life")]
    Incarnation,
    /// Does the platform's store answer you? Any entry answers this.
    Outage,
    /// What is newer than this version of the configuration and this end of the lease's log? Any
    /// entry answers this, for one that the platform turns away.
    #[serde(rename = "News")]
    Update {
        /// The newest version that is known.
        version: Version,
        /// The end of the lease's log, as far as it is known.
        end: u64,
    },
    /// Where is this entry to have its news from? Only the owner answers this.
    #[serde(rename = "Place")]
    Assignment(Seeker),
    /// What is new? It is answered once there is something.
    #[serde(rename = "Feed")]
    Replication(replication::Request),
}

impl CallerRequest {
    /// Says how much time is left for the answer, where the owner has to know.
    pub fn set_left(&mut self, left: Duration) {
        if let CallerOperation::Submit { timeout_ms, .. } = &mut self.operation {
            *timeout_ms = left.as_millis() as u64;
        }
    }
}

impl fmt::Display for CallerRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.operation {
            CallerOperation::Submit { submission, .. } => {
                write!(f, "submit {:016x}", submission.id)
            }
            CallerOperation::Cancel(id) => write!(f, "cancel {id:016x}"),
            CallerOperation::State(id) => write!(f, "state {id:016x}"),
            CallerOperation::Pending => write!(f, "pending {}", self.queue),
        }
    }
}

impl fmt::Display for PeerRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerRequest::Caller(request) => request.fmt(f),
            PeerRequest::HandOver { cpu } => write!(f, "hand over to {cpu}"),
            PeerRequest::Release(lease) => write!(f, "release for {}", lease.node),
            PeerRequest::Incarnation => write!(f, "life"),
            PeerRequest::Outage => write!(f, "outage"),
            PeerRequest::Update { version, end } => write!(f, "news since {version} and {end}"),
            PeerRequest::Assignment(follower) => write!(f, "place for {}", follower.address),
            PeerRequest::Replication(request) => write!(f, "news for {}", request.follower.address),
        }
    }
}

/// What an entry knows that another may not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, as operators wrote it, if it is newer.
    pub config: Option<RawConfig>,
    /// The lease and the end of its log, if it is newer.
    pub lease: Option<(Lease, u64)>,
    /// The data centres that are to be emptied.
    #[serde(default, rename = "evacuations")]
    pub hall_drains: Evacuations,
    /// How many ms ago the entry's configuration was the newest for certain.
    pub age: u64,
}

/// An answer of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The job is kept.
    Accepted,
    /// The job is cancelled, or was over.
    Cancelled,
    /// The call was judged by an older configuration than this one; nothing was done.
    Outdated(Version),
    /// The job is not taken, and nothing of it was sent to the log.
    Refused,
    /// The job is not taken: it would be done too late. There may be room for it in so many ms.
    #[serde(rename = "Hopeless")]
    TooLate(u64),
    /// The job is not taken: it asks for more than its workspace may ever have running.
    TooLarge,
    /// There is no such job.
    Unknown,
    /// The job is this far.
    State(Phase),
    /// So many jobs have not begun.
    Pending(usize),
    /// The entry that was asked owns nothing; nothing was done.
    NotOwner,
    /// This life of the process answers.
    #[serde(rename = "Life")]
    Incarnation(Presence),
    /// The cell is handed over.
    HandedOver,
    /// What is newer.
    #[serde(rename = "News")]
    Update(Update),
    /// This is where news come from.
    #[serde(rename = "Place")]
    Assignment(Source),
    /// This is for a follower.
    #[serde(rename = "Feed")]
    Replication(replication::Response),
    /// Whether the store is silent for an entry, and in which data centre that entry is.
    Outage {
        /// The entry's data centre.
        hall: String,
        /// Whether the store does not answer it.
        silent: bool,
    },
    /// It may have been done, or may not.
    Unsure,
}

/// Answers the questions of other entries.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let failed = |error| warn!(%error, "no connection of an entry could be taken");
    let serve = |stream: TcpStream| {
        // Without this, answers are only slower.
        let _ = stream.set_nodelay(true);
        let node = Rc::clone(&node);
        listen::serve(stream, move |request| respond(Rc::clone(&node), request))
    };
    accept_each(listener, failed, serve).await;
}

/// Answers a question of another entry.
async fn respond(node: Rc<Node>, request: hyper::Request<Incoming>) -> Reply {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES)
        .collect()
        .await;
    let request = body
        .ok()
        .and_then(|body| rmp_serde::from_slice::<PeerRequest>(&body.to_bytes()).ok());
    let Some(request) = request else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let response = match (request, node.as_owner()) {
        (PeerRequest::Update { version, end }, _) => {
            PeerResponse::Update(update(&node, version, end))
        }
        (PeerRequest::Incarnation, _) => PeerResponse::Incarnation(reach::presence(&node)),
        (PeerRequest::Replication(request), _) => {
            PeerResponse::Replication(replication_server::respond(&node, request).await)
        }
        (PeerRequest::Assignment(follower), Some(_)) => {
            PeerResponse::Assignment(replication_server::assign(&node, follower))
        }
        (PeerRequest::Outage, _) => outage::report(&node).await,
        (PeerRequest::Release(lease), _) => release_for_owner(&node, *lease).await,
        (PeerRequest::HandOver { cpu }, Some(owner)) => owner.hand_over(cpu),
        (PeerRequest::Caller(request), Some(owner)) => owner.handle(*request).await,
        (_, None) => PeerResponse::NotOwner,
    };
    let bytes = rmp_serde::to_vec(&response).expect("plain data has a form in MessagePack");
    Response::new(Full::new(bytes.into()))
}

/// Gives the cell up for an owner that the store turns away, and tells it what the log says now.
async fn release_for_owner(node: &Node, lease: Lease) -> PeerResponse {
    match append_release(node, lease).await {
        None => PeerResponse::Unsure,
        lease => PeerResponse::Update(Update {
            lease,
            ..Update::default()
        }),
    }
}

/// What this entry knows beyond a version of the configuration and an end of the lease's log.
fn update(node: &Node, version: Version, end: u64) -> Update {
    let lease = node
        .lease
        .borrow()
        .clone()
        .map(|lease| (lease, node.lease_end.get()));
    Update {
        config: node.in_force.borrow().raw_config_after(version),
        lease: lease.filter(|(_, known)| *known > end),
        hall_drains: node.in_force.borrow().hall_drains().clone(),
        age: node.freshness.get().age(Instant::now()).as_millis() as u64,
    }
}

/// Asks an entry at an address.
///
/// # Errors
///
/// Tells whether the question may have been taken.
pub async fn call(
    node: &Node,
    address: &str,
    request: &PeerRequest,
    deadline: Instant,
) -> Result<PeerResponse, CallError> {
    let body = rmp_serde::to_vec(request).expect("plain data has a form in MessagePack");
    let call = Call {
        connection: Connection::Kept,
        address,
        method: Method::POST,
        path: PATH,
        headers: &[],
        body: Some(body.into()),
        deadline,
    };
    let answer = node.client.call(call).await?;
    rmp_serde::from_slice(&answer.body).map_err(|error| {
        warn!(%error, address, "an entry's answer cannot be read");
        CallError::Unanswered
    })
}
