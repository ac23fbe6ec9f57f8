//! Scheduler: handles one event at a time and returns the commands that follow from it.

mod ended;
mod waiting;

use crate::{
    admit::{Admission, admit, is_too_late, not_run},
    claim::ClaimDecision,
    estimate::Estimate,
    job::{
        AttemptEnd, AttemptId, Command, Event, Job, NotRun, NotRunReason, Outcome, RequestId,
        Target,
    },
    pool::Pool,
    worker::{Peer, WorkerInfo},
};
use protocol::{Capacity, PoolId, ServiceId, VmId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use settings::{Service, pool_of};
use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

/// State of a request without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The claim has not been decided.
    Claiming,
    /// The request waits for a worker.
    Queued,
    /// This attempt is in flight.
    Running(AttemptId),
}

/// Request that has no outcome yet.
#[derive(Clone, Debug)]
struct Request {
    job: Job,
    phase: Phase,
    tried: Vec<VmId>,
    refusals: usize,
    failures: u32,
    /// End of an earlier attempt that may have run.
    uncertain: Option<AttemptEnd>,
}

/// Attempt that is in flight.
#[derive(Clone, Debug)]
struct Attempt {
    request: RequestId,
    target: Target,
    pool: PoolId,
    sent: Instant,
}

/// Requests of one entry that have no outcome yet, with the state that decides about them.
#[derive(Debug)]
pub struct Scheduler {
    services: BTreeMap<ServiceId, Service>,
    estimates: HashMap<ServiceId, Estimate>,
    pools: BTreeMap<PoolId, Pool>,
    requests: HashMap<RequestId, Request>,
    attempts: HashMap<AttemptId, Attempt>,
    peers: Vec<Peer>,
    stopping: bool,
    rng: SmallRng,
    commands: Vec<Command>,
}

impl Scheduler {
    /// Returns an empty scheduler. `seed` fixes its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            services: BTreeMap::new(),
            estimates: HashMap::new(),
            pools: BTreeMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            peers: Vec::new(),
            stopping: false,
            rng: SmallRng::seed_from_u64(seed),
            commands: Vec::new(),
        }
    }

    /// Handles an event and returns the commands to carry out.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Command> {
        match event {
            Event::Arrived(job) => self.arrive(job, now),
            Event::Cancelled(request) => self.cancel(request, now),
            Event::Claimed(request, decision) => self.claimed(request, decision, now),
            Event::Ended(attempt, end) => self.ended(attempt, end, now),
            Event::Services(services) => self.services = services,
            Event::Workers(workers) => self.set_workers(workers, now),
            Event::Usage(vm, running) => self.report(&vm, running, now),
            Event::Peers(peers) => self.peers = peers,
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns the capacity for each service that is reported to other data centres.
    pub fn capacity(&self, now: Instant) -> BTreeMap<ServiceId, Capacity> {
        self.services
            .keys()
            .map(|service| {
                let pool = self.pools.get(pool_of(service));
                let capacity = pool.map(|pool| pool.capacity(now)).unwrap_or_default();
                (service.clone(), capacity)
            })
            .collect()
    }

    /// Returns the number of requests without an outcome.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether every request has its outcome.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn arrive(&mut self, job: Job, now: Instant) {
        let id = job.id;
        if self.stopping {
            return self.refuse(id, NotRunReason::Stopping, now);
        }
        match self.admission(&job, now) {
            Admission::Admit => self.accept(job, now),
            Admission::Refuse(refusal) if refusal.reason == NotRunReason::DeadlinePast => {
                self.answer(id, Outcome::NotRun(refusal));
            }
            Admission::Refuse(refusal) => self.forward(job, refusal, now),
        }
    }

    fn admission(&mut self, job: &Job, now: Instant) -> Admission {
        let no_worker = Admission::Refuse(not_run(NotRunReason::NoWorker, now, now));
        let Some(service) = self.services.get(&job.service) else {
            return no_worker;
        };
        let Some(pool) = self.pools.get_mut(pool_of(&job.service)) else {
            return no_worker;
        };
        if pool.workers.is_empty() {
            return no_worker;
        }
        pool.retries.earn();
        let estimate = self.estimates.entry(job.service.clone()).or_default();
        admit(job, service, pool, estimate, now)
    }

    fn accept(&mut self, job: Job, now: Instant) {
        let id = job.id;
        let repeatable = job.repeatable;
        self.insert(job, Phase::Claiming);
        if repeatable {
            self.enqueue(id, now);
        } else {
            self.commands.push(Command::Claim(id));
        }
    }

    /// Forwards a request to another data centre, or refuses it if none has free capacity.
    fn forward(&mut self, job: Job, refusal: NotRun, now: Instant) {
        let id = job.id;
        let Some(peer) = self.choose_peer(&job) else {
            return self.answer(id, Outcome::NotRun(refusal));
        };
        let (target, addr) = (Target::Peer(peer.entry.clone()), peer.addr.clone());
        self.insert(job, Phase::Queued);
        self.send(id, target, addr, now);
    }

    /// Chooses the peer with more free capacity of two in other data centres that are drawn at random.
    fn choose_peer(&mut self, job: &Job) -> Option<&Peer> {
        if job.forwarded {
            return None;
        }
        let free = |peer: &Peer| {
            peer.capacity
                .get(&job.service)
                .map_or(0, |capacity| capacity.free())
        };
        let candidates: Vec<&Peer> = self.peers.iter().filter(|peer| free(peer) > 0).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        Some(if free(second) > free(first) {
            second
        } else {
            first
        })
    }

    fn insert(&mut self, job: Job, phase: Phase) {
        let request = Request {
            phase,
            tried: Vec::new(),
            refusals: 0,
            failures: 0,
            uncertain: None,
            job,
        };
        self.requests.insert(request.job.id, request);
    }

    fn enqueue(&mut self, id: RequestId, now: Instant) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Queued;
        let job = &request.job;
        let pool_id = pool_of(&job.service).to_owned();
        let work = self
            .estimates
            .get(&job.service)
            .map(Estimate::mean)
            .unwrap_or_default();
        let pool = self.pools.entry(pool_id.clone()).or_default();
        pool.queue.push(id, job.class, job.deadline, work);
        self.dispatch(&pool_id, now);
    }

    fn claimed(&mut self, id: RequestId, decision: ClaimDecision, now: Instant) {
        if !self.requests.contains_key(&id) {
            // The caller has disconnected. The outcome frees the key again.
            return self.refuse(id, NotRunReason::Cancelled, now);
        }
        match decision {
            ClaimDecision::Won => self.enqueue(id, now),
            ClaimDecision::LogDown => self.refuse(id, NotRunReason::LogDown, now),
            other => self.answer(id, Outcome::Claimed(other)),
        }
    }

    fn dispatch(&mut self, pool_id: &str, now: Instant) {
        loop {
            let Some(pool) = self.pools.get_mut(pool_id) else {
                return;
            };
            if !pool.has_free(now) {
                return;
            }
            let Some(id) = pool.queue.pop() else {
                return;
            };
            self.start(id, pool_id, now);
        }
    }

    fn start(&mut self, id: RequestId, pool_id: &str, now: Instant) {
        let (Some(request), Some(pool)) = (self.requests.get_mut(&id), self.pools.get(pool_id))
        else {
            return;
        };
        let estimate = self
            .estimates
            .entry(request.job.service.clone())
            .or_default();
        if is_too_late(request.job.deadline, estimate, pool.queue.len() > 0, now) {
            return self.refuse(id, NotRunReason::Overload, now);
        }
        let mut chosen = pool.choose(now, &request.tried, &mut self.rng);
        if chosen.is_none() {
            request.tried.clear();
            chosen = pool.choose(now, &[], &mut self.rng);
        }
        let Some(worker) = chosen else {
            return;
        };
        let (vm, addr) = (worker.info.vm.clone(), worker.info.addr.clone());
        self.send(id, Target::Worker(vm), addr, now);
    }

    fn send(&mut self, id: RequestId, target: Target, addr: String, now: Instant) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = AttemptId::new();
        let pool = pool_of(&request.job.service).to_owned();
        request.phase = Phase::Running(attempt);
        if let Target::Worker(vm) = &target {
            request.tried.push(vm.clone());
            if let Some(worker) = worker_of(&mut self.pools, &pool, vm) {
                worker.in_flight += 1;
            }
        }
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                target: target.clone(),
                pool: pool.clone(),
                sent: now,
            },
        );
        self.commands.push(Command::Send {
            request: id,
            attempt,
            target,
            addr,
            pool,
            deadline: request.job.deadline,
        });
    }

    fn set_workers(&mut self, infos: Vec<WorkerInfo>, now: Instant) {
        let mut by_pool: BTreeMap<PoolId, Vec<WorkerInfo>> = BTreeMap::new();
        for info in infos {
            by_pool.entry(info.pool.clone()).or_default().push(info);
        }
        for (id, pool) in &mut self.pools {
            pool.set_workers(by_pool.remove(id).unwrap_or_default());
        }
        for (id, infos) in by_pool {
            self.pools.entry(id).or_default().set_workers(infos);
        }
        self.dispatch_all(now);
    }

    fn report(&mut self, vm: &str, running: u32, now: Instant) {
        let mut freed = None;
        for (id, pool) in &mut self.pools {
            if let Some(worker) = pool.workers.get_mut(vm) {
                worker.report(running);
                freed = Some(id.clone());
            }
        }
        if let Some(pool) = freed {
            self.dispatch(&pool, now);
        }
    }

    fn dispatch_all(&mut self, now: Instant) {
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.dispatch(&pool, now);
        }
    }

    /// Refuses a request. If an earlier attempt may have run, the outcome is unknown instead of not run.
    fn refuse(&mut self, id: RequestId, reason: NotRunReason, now: Instant) {
        let uncertain = self.requests.get(&id).and_then(|request| request.uncertain);
        let outcome = match uncertain {
            Some(end) => Outcome::Unknown(end),
            None => Outcome::NotRun(not_run(reason, now, now)),
        };
        self.answer(id, outcome);
    }

    fn answer(&mut self, id: RequestId, outcome: Outcome) {
        self.requests.remove(&id);
        self.commands.push(Command::Answer(id, outcome));
    }
}

fn worker_of<'p>(
    pools: &'p mut BTreeMap<PoolId, Pool>,
    pool: &str,
    vm: &str,
) -> Option<&'p mut crate::worker::Worker> {
    pools.get_mut(pool)?.workers.get_mut(vm)
}
