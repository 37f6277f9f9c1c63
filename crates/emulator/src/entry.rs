use crate::Policy;
use mangospindle_dispatch::{
    Choice, DispatchSettings, Dispatcher, LoadReading, Outcome, Refusal, Request, SendTicket,
};
use mangospindle_fleet::EndpointRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where an entry sends a request.
pub(crate) enum Decision {
    /// To the endpoint with this instance.
    Send(String, Option<SendTicket>),
    /// Nowhere; the caller may come back after this time.
    Refuse(Duration),
}

/// An entry.
pub(crate) struct Entry {
    policy: Policy,
    dispatcher: Dispatcher,
    list: Vec<EndpointRecord>,
    loads: BTreeMap<String, LoadReading>,
    next: usize,
}

impl Entry {
    pub(crate) fn new(policy: Policy, settings: DispatchSettings, seed: u64) -> Self {
        Entry {
            policy,
            dispatcher: Dispatcher::new(settings, seed),
            list: Vec::new(),
            loads: BTreeMap::new(),
            next: 0,
        }
    }

    pub(crate) fn dispatcher(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    pub(crate) fn learn(&mut self, now: Duration, list: &[EndpointRecord]) {
        self.dispatcher.update_endpoints(now, list);
        self.list = list.to_vec();
    }

    pub(crate) fn choose(&mut self, now: Duration, request: &Request<'_>) -> Decision {
        match self.policy {
            Policy::Dispatcher => match self.dispatcher.choose(now, request) {
                Ok(Choice {
                    instance, ticket, ..
                }) => Decision::Send(instance, Some(ticket)),
                Err(Refusal { retry_after, .. }) => Decision::Refuse(retry_after),
            },
            Policy::RoundRobin | Policy::LeastLoad => self.choose_simply(request),
        }
    }

    fn choose_simply(&mut self, request: &Request<'_>) -> Decision {
        self.next += 1;
        let candidates: Vec<&EndpointRecord> = (self.list.iter())
            .filter(|e| e.service == request.service)
            .collect();
        if candidates.is_empty() || request.repeated {
            return Decision::Refuse(request.time_left / 4);
        }
        let turn = self.next % candidates.len();
        let load = |e: &EndpointRecord| {
            let load = self.loads.get(&e.instance);
            load.map_or(0, |l| l.running + l.waiting)
        };
        let rotated = candidates[turn..].iter().chain(&candidates[..turn]);
        let chosen = match self.policy {
            Policy::LeastLoad => rotated.min_by_key(|e| load(e)),
            Policy::Dispatcher | Policy::RoundRobin => Some(&candidates[turn]),
        };
        match chosen {
            Some(e) => Decision::Send(e.instance.clone(), None),
            None => Decision::Refuse(request.time_left / 4),
        }
    }

    pub(crate) fn finished(
        &mut self,
        now: Duration,
        instance: &str,
        ticket: Option<SendTicket>,
        outcome: Outcome,
    ) {
        if let Outcome::Answered { load, .. } | Outcome::Rejected { load } = outcome
            && let Some(load) = load
        {
            self.loads.insert(instance.to_string(), load);
        }
        if let Some(ticket) = ticket {
            self.dispatcher.record_outcome(now, ticket, outcome);
        }
    }
}
