use super::{Simulation, TIME_STEP};
use crate::fixture::*;
use crate::op::Op;
use crate::test_owner::admission_request;
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{ConfigChange, Takeover};

impl Simulation {
    fn fence(&mut self, entry: EntryId) {
        self.kill(entry);
        self.change_config(&set_fenced(entry.0));
        self.reassign(Some(entry));
    }

    /// Assigns the endpoints of a lost owner, or those without an owner, to their preferred owners.
    fn reassign(&mut self, from: Option<EntryId>) {
        for id in self.oracle.newest().topology.endpoint_ids() {
            if self.oracle.newest().owner_of(id) == from {
                let change = assign_preferred_owner(self.oracle.newest(), id, Takeover::Quarantine);
                self.change_config(&change);
            }
        }
    }

    /// Applies one step of a fuzz case.
    pub fn apply(&mut self, op: &Op) {
        let newest = self.oracle.newest().clone();
        let endpoints = newest.topology.endpoints.len();
        let entry_of = |i: usize| EntryId((i % 3) as u16);
        match *op {
            Op::Advance(by) => self.advance(ms(by), TIME_STEP),
            Op::Requests(entry, service, class, away, remaining, count) => {
                let home = if away { REMOTE } else { HOME };
                for _ in 0..count {
                    self.request(
                        entry_of(entry),
                        admission_request(service, class, home, remaining),
                    );
                }
            }
            Op::Saturate(service, away, steps) => {
                let (home, remaining_ms) = if away { (REMOTE, 100) } else { (HOME, 9_000) };
                for i in 0..steps as usize * 3 * 6 {
                    let service = if service < 2 {
                        service
                    } else {
                        i as u16 / 3 % 2
                    };
                    self.request(
                        entry_of(i),
                        admission_request(service, RequestClass::AtMostOnce, home, remaining_ms),
                    );
                    if i % (3 * 6) == 0 {
                        self.advance(ms(200), TIME_STEP);
                    }
                }
            }
            Op::Finish(which, how) if !self.running.is_empty() => {
                let first_byte = ms(u64::from(how).pow(4));
                let result = match how {
                    0..=4 => RequestResult::Answered { first_byte },
                    5 => RequestResult::Failed,
                    6 => RequestResult::Shed,
                    _ => RequestResult::Cancelled,
                };
                self.finish(which % self.running.len(), result);
            }
            Op::Finish(..) => {}
            Op::Cancel(entry) => {
                if let Some(process) = self.processes.get_mut(&entry_of(entry))
                    && let Some(ticket) = process.tickets.keys().min().copied()
                {
                    process.tickets.remove(&ticket);
                    assert!(process.admission.cancel(ticket));
                }
            }
            Op::Kill(entry) => self.kill(entry_of(entry)),
            Op::Restart(entry) if self.processes.contains_key(&entry_of(entry)) => {}
            Op::Restart(entry) => {
                self.start_process(entry_of(entry));
                self.change_config(&set_active(entry_of(entry), newest.version));
                self.reassign(None);
            }
            Op::Fence(entry) => self.fence(entry_of(entry)),
            Op::LoseWhileSaturated(entry, fence, before, after, away) => {
                let lost = if fence {
                    Op::Fence(entry)
                } else {
                    Op::Kill(entry)
                };
                let steps = [Op::Saturate(before, away, 3), lost, Op::Restart(entry)];
                steps.iter().for_each(|op| self.apply(op));
                self.apply(&Op::Saturate(after, away, 30));
            }
            Op::RegionLimit(limit) => {
                self.change_config(&ConfigChange::SetRegionLimit(HOME, limit))
            }
            Op::CrossRegionLimit(limit) => self.change_config(&put_profile(profile(limit, 0.5))),
            Op::AddEndpoint(..) if endpoints >= 14 => {}
            Op::AddEndpoint(service, domain) => {
                let added = endpoint(endpoints, service, FailureDomainId(domain));
                self.change_config(&ConfigChange::AddEndpoint(added));
                let id = EndpointId(endpoints as u32);
                self.change_config(&assign_preferred_owner(
                    self.oracle.newest(),
                    id,
                    Takeover::Clean,
                ));
            }
            Op::Drain(id, on) => self.change_config(&set_drain((id % endpoints) as u32, on)),
            Op::Observe(id, what) => {
                let id = id % endpoints;
                let load = f32::from(what) / 6.0;
                let reading = match what {
                    0 => EndpointObservation::Leaving,
                    1..=2 => EndpointObservation::Unresponsive,
                    _ => EndpointObservation::Healthy { load },
                };
                if reading != EndpointObservation::Unresponsive {
                    self.leaving[id] = what == 0;
                }
                for entry in (0..3).map(EntryId) {
                    self.with_admission(entry, |a, now| {
                        a.observe(now, EndpointId(id as u32), reading)
                    });
                }
            }
            Op::CutOff(entry, cut) => {
                let process = self.processes.get_mut(&entry_of(entry));
                process.into_iter().for_each(|p| p.cut_off = cut);
            }
            Op::StepClockBack(entry, back) => {
                self.with_admission(entry_of(entry), |a, now| a.expire(now - ms(back)));
            }
        }
    }
}
