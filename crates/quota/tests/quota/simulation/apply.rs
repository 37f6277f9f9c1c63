use super::{STEP, World};
use crate::fixture::*;
use crate::op::Op;
use crate::test_owner::ask;
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{ConfigChange, Takeover};

impl World {
    fn fence(&mut self, entry: EntryId) {
        self.kill(entry);
        self.change(&set_fenced(entry.0));
        self.reassign(Some(entry));
    }

    /// Gives the endpoints of a lost owner, or those without one, to their preferred owners.
    fn reassign(&mut self, from: Option<EntryId>) {
        for id in self.oracle.newest().topology.endpoint_ids() {
            if self.oracle.newest().owner_of(id) == from {
                let change = assign_preferred_owner(self.oracle.newest(), id, Takeover::Quarantine);
                self.change(&change);
            }
        }
    }

    pub fn apply(&mut self, op: &Op) {
        let newest = self.oracle.newest().clone();
        let endpoints = newest.topology.endpoints.len();
        let entry_of = |i: usize| EntryId((i % 3) as u16);
        match *op {
            Op::Advance(by) => self.advance(ms(by), STEP),
            Op::Requests(entry, service, class, away, remaining, count) => {
                let home = if away { REMOTE } else { HOME };
                for _ in 0..count {
                    self.request(entry_of(entry), ask(service, class, home, remaining));
                }
            }
            Op::Pressure(service, away, steps) => {
                let (home, left) = if away { (REMOTE, 100) } else { (HOME, 9_000) };
                for i in 0..steps as usize * 3 * 6 {
                    let service = if service < 2 {
                        service
                    } else {
                        i as u16 / 3 % 2
                    };
                    self.request(
                        entry_of(i),
                        ask(service, RequestClass::AtMostOnce, home, left),
                    );
                    if i % (3 * 6) == 0 {
                        self.advance(ms(200), STEP);
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
                self.start(entry_of(entry));
                self.change(&set_active(entry_of(entry), newest.version));
                self.reassign(None);
            }
            Op::Fence(entry) => self.fence(entry_of(entry)),
            Op::LoseFull(entry, fence, before, after, away) => {
                let lost = if fence {
                    Op::Fence(entry)
                } else {
                    Op::Kill(entry)
                };
                let steps = [Op::Pressure(before, away, 3), lost, Op::Restart(entry)];
                steps.iter().for_each(|op| self.apply(op));
                self.apply(&Op::Pressure(after, away, 30));
            }
            Op::RegionLimit(limit) => self.change(&ConfigChange::SetRegionLimit(HOME, limit)),
            Op::CrossLimit(limit) => self.change(&put_profile(profile(limit, 0.5))),
            Op::AddEndpoint(..) if endpoints >= 14 => {}
            Op::AddEndpoint(service, domain) => {
                let added = endpoint(endpoints, service, FailureDomainId(domain));
                self.change(&ConfigChange::AddEndpoint(added));
                let id = EndpointId(endpoints as u32);
                self.change(&assign_preferred_owner(
                    self.oracle.newest(),
                    id,
                    Takeover::Clean,
                ));
            }
            Op::Drain(id, on) => self.change(&set_drain((id % endpoints) as u32, on)),
            Op::Reading(id, what) => {
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
                    self.with(entry, |a, now| {
                        a.observe(now, EndpointId(id as u32), reading)
                    });
                }
            }
            Op::CutOff(entry, cut) => {
                let process = self.processes.get_mut(&entry_of(entry));
                process.into_iter().for_each(|p| p.cut_off = cut);
            }
            Op::ClockBack(entry, back) => {
                self.with(entry_of(entry), |a, now| a.expire(now - ms(back)));
            }
        }
    }
}
