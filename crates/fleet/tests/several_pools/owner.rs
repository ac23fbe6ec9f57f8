//! The decisions of the owner about the VMs of a played load, as `entry/moves` makes them.

use super::*;

impl Play {
    pub(super) fn resize(&mut self) {
        let limits = SizingLimits::default();
        let mut pools: Vec<PoolDemand> = (0..self.services.len()).map(|n| self.demand(n)).collect();
        let idle: usize = pools.iter().map(|pool| pool.idle.len()).sum();
        for pool in pools.iter().filter(|pool| !pool.reserve) {
            let vms = pool.vms + idle - pool.idle.len();
            self.cell.update_backlog(&pool.pool, vms as u64 * VM.cpu);
        }
        if lacks_vms(&pools, &limits) {
            for vm in &self.vms {
                pools[vm.pool].drainable.extend(self.drainable(vm));
            }
        }
        let plan = resize(&pools, self.at(self.now), &limits);
        self.apply(&plan);
        self.check_idle_jobs();
    }

    fn demand(&mut self, pool: usize) -> PoolDemand {
        let name = self.services[pool].name;
        let now = self.at(self.now);
        let demand = self.cell.demand(name);
        let usage = &mut self.usage[pool];
        usage.push_back((self.now, demand.busy.cpu));
        usage.retain(|(at, _)| *at + PEAK_WINDOW_MS >= self.now);
        let peak = usage.iter().map(|(_, cpu)| *cpu).max().unwrap_or(0);
        let reserve = name == "reserve";
        let mut idle = Vec::new();
        for vm in self.vms.iter_mut().filter(|vm| vm.pool == pool) {
            let worker = self.cell.workers.get(&vm.worker);
            let is_idle = worker.is_some_and(|worker| {
                let open = vm.draining.is_some() || worker.is_open(now);
                worker.runs.is_empty() && worker.responsive && open
            });
            if vm.away.is_some() || !(is_idle || reserve) {
                vm.idle = None;
                continue;
            }
            let since = *vm.idle.get_or_insert(self.now);
            idle.push(IdleVm {
                vm: vm.name.clone(),
                since: self.start + Duration::from_millis(since),
                drained: vm.draining.is_some(),
            });
        }
        idle.sort_by_key(|vm| vm.since);
        let up = self
            .vms
            .iter()
            .filter(|vm| vm.pool == pool && vm.away.is_none());
        let more = demand.unschedulable.workers(VM);
        let more = if more == 0 { 0 } else { up.count() + more };
        PoolDemand {
            pool: name.to_owned(),
            reserve,
            vms: self.vms.iter().filter(|vm| vm.pool == pool).count(),
            vm_capacity: VM.cpu,
            peak_running: peak,
            running: demand.busy.cpu,
            waiting: demand.waiting.cpu,
            late: demand.late.cpu,
            late_running: self.cell.late_running(name, now).cpu,
            inflow: demand.inflow.cpu,
            forecast_inflow: demand.forecast_inflow.cpu,
            demand_unknown: !demand.has_finite_jobs,
            min_vms: demand.anti_affinity_workers.max(more),
            idle,
            drainable: Vec::new(),
        }
    }

    fn drainable(&self, vm: &Vm) -> Option<DrainableVm> {
        let now = self.at(self.now);
        let draining = vm.draining.is_some();
        let worker = self.cell.workers.get(&vm.worker)?;
        let busy = vm.away.is_none() && vm.idle.is_none() && worker.long_running_runs == 0;
        let left = self.cell.time_to_drain(&vm.worker, now);
        let soon = left <= Duration::from_millis(MAX_DRAIN_MS) && worker.is_open(now);
        (busy && self.now >= vm.stuck && (draining || soon)).then(|| DrainableVm {
            vm: vm.name.clone(),
            free: now + left,
            draining,
        })
    }

    fn apply(&mut self, plan: &Resize) {
        let now = self.at(self.now);
        for vm in &mut self.vms {
            if vm.draining.is_some_and(|at| self.now >= at + MAX_DRAIN_MS) {
                vm.stuck = self.now + STUCK_MS;
            }
            let drain = plan.drains.contains(&vm.name) && self.now >= vm.stuck;
            let moves = plan.moves.iter().any(|shift| shift.vm == vm.name);
            match vm.draining {
                None if drain => {
                    self.cell.set_closed(&vm.worker, true);
                    self.cell.drain_worker(&vm.worker, now);
                    vm.draining = Some(self.now);
                }
                Some(_) if !drain && !moves => {
                    self.cell.set_closed(&vm.worker, false);
                    vm.draining = None;
                }
                _ => {}
            }
        }
        for shift in &plan.moves {
            let to = self
                .services
                .iter()
                .position(|service| service.name == shift.to);
            let number = self.vms.iter().position(|vm| vm.name == shift.vm);
            if let (Some(to), Some(number)) = (to, number) {
                self.vms[number].pool = to;
                self.moves += 1;
                self.take_down(number, self.now + MOVE_MS);
            }
        }
    }

    /// Records for how long accepted jobs have nothing running although less than half of their pool is in use and a VM
    /// has room for each of their tasks twice over.
    fn check_idle_jobs(&mut self) {
        let free = |vm: &Vm| {
            let worker = self.cell.workers.get(&vm.worker);
            worker.map_or(0, |worker| VM.cpu - worker.used.cpu)
        };
        let mut spare = vec![(0, 0, 0); self.services.len()];
        for vm in self.vms.iter().filter(|vm| vm.away.is_none()) {
            let (sum, most, vms) = &mut spare[vm.pool];
            *sum += free(vm);
            *most = free(vm).max(*most);
            *vms += VM.cpu;
        }
        let running: std::collections::BTreeSet<JobId> = self
            .vms
            .iter()
            .flat_map(|vm| vm.runs.iter().map(|run| run.task.job))
            .collect();
        for (id, call) in &mut self.calls {
            let (sum, most, vms) = spare[call.service];
            let need = self.cell.jobs[id].submission.spec.steps[0].need.cpu;
            let room = sum * 2 > vms && most >= 2 * need;
            match room && !running.contains(id) {
                true => {
                    let since = *call.idle.get_or_insert(self.now);
                    self.longest_idle = self.longest_idle.max(self.now - since);
                }
                false => call.idle = None,
            }
        }
    }
}
