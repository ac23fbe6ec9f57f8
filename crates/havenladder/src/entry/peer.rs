//! Requests between entries, sent over HTTP and encoded with MessagePack. Most of them go to the
//! owner of the cell.

use super::{
    in_force::Caller,
    lease_record::append_release,
    node::{Lease, Node},
    outage,
    reach::{self, Presence},
    replication, replication_server,
};
use crate::record::CompressedRecord;
use adapter::{
    http::{self, Call, CallError, Connection},
    operator::Version,
    traffic::Party,
};
use clock::Instant;
use fleet::{FollowerInfo, MilliCpu, Source};
use http_body_util::Full;
use hyper::{Method, Response, StatusCode, body::Incoming};
use ingress::{Exchange, Reply};
use jobs::{HallDrains, JobId, Phase, QueueId, Step, Submission};
use serde::{Deserialize, Serialize};
use std::{fmt, net::TcpListener, rc::Rc, time::Duration};
use tracing::{error, warn};

/// Path of a request to another entry.
const PATH: &str = "/ask";

/// Maximum size of a request. The body of a job, which a request may carry, has up to 262,144
/// bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Maximum ratio of the memory of a decoded request to its bytes: an encoded step of a job has 20 bytes or more.
const MAX_DECODED_RATIO: usize = size_of::<Step>() / 20;

/// Operation that a caller requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallerOperation {
    /// Submits a job.
    Submit {
        /// The submitted job.
        #[serde(rename = "given")]
        submission: Submission,
        /// Time in ms for which the owner may wait until the record of the job is durable.
        #[serde(rename = "within")]
        timeout_ms: u64,
    },
    /// Cancels a job.
    Cancel(JobId),
    /// Asks for the phase of a job.
    State(JobId),
    /// Asks how many jobs of the queue have not started yet.
    Pending,
}

/// Request of a caller, after the entry that received it has authenticated the caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The caller. Its key stays at the entry that received the request.
    pub caller: Caller,
    /// The queue that was called.
    pub queue: QueueId,
    /// Version of the configuration that the caller was authenticated with. An owner that knows a
    /// newer one has the caller authenticated again.
    pub version: Version,
    /// The requested operation.
    #[serde(rename = "wish")]
    pub operation: CallerOperation,
}

/// Request of one entry to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Carries out a caller's request. Only the owner does so.
    #[serde(rename = "For")]
    Caller(Box<CallerRequest>),
    /// Asks the owner to hand the cell over to the requesting entry.
    HandOver {
        /// Share of a CPU core that the requesting entry has.
        cpu: MilliCpu,
    },
    /// Asks the receiver to append this record, by which the requesting owner releases the cell,
    /// because the store does not answer that owner.
    Release(Box<Lease>),
    /// Asks for the incarnation of the receiver's process and for its data centre. Every entry
    /// answers at once.
    #[serde(rename = "Life")]
    Incarnation,
    /// Asks whether the platform's store answers the receiver. Every entry answers this.
    Outage,
    /// Asks for a newer configuration and for newer records of the lease. Every entry answers this,
    /// so that an entry that is isolated from the store can catch up. Entries that do not compress configurations do
    /// not know the name of this request.
    #[serde(rename = "CompressedNews")]
    Update {
        /// Newest version of the configuration that the requesting entry knows.
        version: Version,
        /// End of the lease's log, as far as the requesting entry knows it.
        end: u64,
    },
    /// Asks which source the requesting entry should replicate from. Only the owner answers this.
    #[serde(rename = "Place")]
    Assignment(FollowerInfo),
    /// Asks for new records. The response is held back until there are some or the maximum hold
    /// time is over. Entries that do not compress records do not know the name of this request.
    #[serde(rename = "CompressedFeed")]
    Replication(replication::Request),
}

impl CallerRequest {
    /// Sets the time that is left for the response, if the owner needs to know it for this
    /// operation.
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
            PeerRequest::Incarnation => write!(f, "incarnation"),
            PeerRequest::Outage => write!(f, "outage"),
            PeerRequest::Update { version, end } => write!(f, "update since {version} and {end}"),
            PeerRequest::Assignment(follower) => write!(f, "assignment for {}", follower.address),
            PeerRequest::Replication(request) => {
                write!(f, "replication for {}", request.follower.address)
            }
        }
    }
}

/// State of an entry that may be newer than that of the entry that asked for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration as operators wrote it, if it is newer.
    pub config: Option<CompressedRecord>,
    /// The lease and the end of its log, if they are newer.
    pub lease: Option<(Lease, u64)>,
    /// The data centres that are to be drained.
    #[serde(default, rename = "evacuations")]
    pub hall_drains: HallDrains,
    /// Time in ms since the entry's configuration was known to be the newest one.
    pub age: u64,
}

/// Response of an entry to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The job is accepted and its record is durable.
    Accepted,
    /// The job is cancelled, or it had already ended.
    Cancelled,
    /// The caller was authenticated with a configuration that is older than this version. Nothing
    /// was done.
    Outdated(Version),
    /// The request is refused. Nothing of a refused job was sent to the log.
    Refused,
    /// The job is rejected because it would be done too late. There may be capacity for it after
    /// this many ms.
    #[serde(rename = "Hopeless")]
    TooLate(u64),
    /// The job is rejected because it needs more than its workspace may ever have running.
    TooLarge,
    /// There is no such job.
    Unknown,
    /// The phase of the job.
    State(Phase),
    /// The number of jobs that have not started yet.
    Pending(usize),
    /// The receiver does not own the cell. Nothing was done.
    NotOwner,
    /// The incarnation of the receiver, with its data centre and the entries that it knows.
    #[serde(rename = "Life")]
    Incarnation(Presence),
    /// The cell is being handed over.
    HandedOver,
    /// State that is newer than what the requesting entry knows.
    #[serde(rename = "News")]
    Update(Update),
    /// The source that the requesting entry should replicate from.
    #[serde(rename = "Place")]
    Assignment(Source),
    /// The response to a follower.
    #[serde(rename = "Feed")]
    Replication(replication::Response),
    /// Whether the store answers the receiver, and the data centre of the receiver.
    Outage {
        /// The data centre of the receiver.
        hall: String,
        /// Whether the store does not answer the receiver.
        silent: bool,
    },
    /// It is not known whether the request was carried out.
    Unsure,
}

/// Serves the requests of other entries.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let gate = Rc::clone(&node.gates.peers);
    let peer = Rc::clone(&node);
    let prepare = move |stream| peer.client.traffic().meter(Party::Peer, stream);
    let respond = move |request, exchange| respond(Rc::clone(&node), request, exchange);
    if let Err(error) = ingress::serve(gate, listener, prepare, respond).await {
        error!(%error, "other entries are not served");
    }
}

/// Receives and decodes a request of another entry.
///
/// # Errors
///
/// Fails with the status of the response if it is not complete or malformed, or if other requests hold too much.
async fn receive(
    request: hyper::Request<Incoming>,
    exchange: &Exchange,
) -> Result<PeerRequest, StatusCode> {
    let body = exchange.receive(request.into_body(), MAX_REQUEST_BYTES, None);
    let body = body.await.map_err(|_| StatusCode::BAD_REQUEST)?;
    let held = exchange.hold(body.len() * MAX_DECODED_RATIO);
    held.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    rmp_serde::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Receives a request of another entry and responds to it.
async fn respond(node: Rc<Node>, request: hyper::Request<Incoming>, exchange: Exchange) -> Reply {
    let request = match receive(request, &exchange).await {
        Ok(request) => request,
        Err(status) => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            return response;
        }
    };
    let response = match (request, node.as_owner()) {
        (PeerRequest::Update { version, end }, _) => {
            PeerResponse::Update(update(&node, version, end))
        }
        (PeerRequest::Incarnation, _) => PeerResponse::Incarnation(reach::presence(&node)),
        (PeerRequest::Replication(request), _) => {
            reach::record_follower(&node, &request.follower);
            PeerResponse::Replication(replication_server::respond(&node, request).await)
        }
        (PeerRequest::Assignment(follower), Some(_)) => {
            reach::record_follower(&node, &follower);
            PeerResponse::Assignment(replication_server::assign(&node, follower))
        }
        (PeerRequest::Outage, _) => outage::report(&node).await,
        (PeerRequest::Release(lease), _) => release_for_owner(&node, *lease).await,
        (PeerRequest::HandOver { cpu }, Some(owner)) => owner.hand_over(cpu),
        (PeerRequest::Caller(request), Some(owner)) => owner.handle(*request).await,
        (_, None) => PeerResponse::NotOwner,
    };
    let bytes = rmp_serde::to_vec(&response).expect("plain data can be encoded as MessagePack");
    Response::new(Full::new(bytes.into()))
}

/// Appends the release of the cell on behalf of an owner that is isolated from the store, and
/// responds with the newest record.
async fn release_for_owner(node: &Node, lease: Lease) -> PeerResponse {
    match append_release(node, lease).await {
        None => PeerResponse::Unsure,
        lease => PeerResponse::Update(Update {
            lease,
            ..Update::default()
        }),
    }
}

/// Returns what this entry knows beyond a version of the configuration and an end of the lease's
/// log.
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

/// Sends a request to the entry at an address and returns its response.
///
/// # Errors
///
/// Fails if there is no usable response until the deadline. The error shows whether the request may have been
/// received.
pub async fn call(
    node: &Node,
    address: &str,
    request: &PeerRequest,
    deadline: Instant,
) -> Result<PeerResponse, CallError> {
    let call = http_call(address, request, deadline);
    decode(address, node.client.call(call).await?)
}

/// Sends a request for records of operators to the entry at an address and returns its response, which may take as
/// long as it makes progress once it has begun.
///
/// # Errors
///
/// Fails if no response begins until the deadline, or the transfer ends or stalls.
pub async fn transfer(
    node: &Node,
    address: &str,
    request: &PeerRequest,
    deadline: Instant,
) -> Result<PeerResponse, CallError> {
    let call = http_call(address, request, deadline);
    let opened = node.client.open(call).await?;
    let _transfer = node.replication.begin_transfer();
    decode(address, opened.receive().await?)
}

/// Creates the HTTP call of a request to the entry at an address.
fn http_call<'a>(address: &'a str, request: &PeerRequest, deadline: Instant) -> Call<'a> {
    let body = rmp_serde::to_vec(request).expect("plain data can be encoded as MessagePack");
    Call {
        connection: Connection::Pooled,
        address,
        method: Method::POST,
        path: PATH,
        headers: &[],
        body: Some(body.into()),
        deadline,
    }
}

/// Decodes the response of the entry at an address.
///
/// # Errors
///
/// Fails if it is not a response of this version.
fn decode(address: &str, response: http::Response) -> Result<PeerResponse, CallError> {
    rmp_serde::from_slice(&response.body).map_err(|error| {
        warn!(%error, address, "cannot decode the response of an entry");
        CallError::Unanswered
    })
}
