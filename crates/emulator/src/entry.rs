use crate::Policy;
use mangospindle_dispatch::{
    Choice, DispatchSettings, Dispatcher, LoadReading, Outcome, Refusal, Request, SendTicket,
};
use mangospindle_fleet::EndpointRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// Decision of an entry about a request.
pub(crate) enum Decision {
    /// Send the request to the endpoint with this instance identifier.
    Send(String, Option<SendTicket>),
    /// Refuse the request; the caller may retry after this time.
    Refuse(Duration),
}

/// An emulated entry, with the endpoint list and the loads that it has been told.
pub(crate) struct Entry {
    policy: Policy,
    dispatcher: Dispatcher,
    endpoints: Vec<EndpointRecord>,
    loads: BTreeMap<String, LoadReading>,
    next_turn: usize,
}

impl Entry {
    pub(crate) fn new(policy: Policy, settings: DispatchSettings, seed: u64) -> Self {
        Entry {
            policy,
            dispatcher: Dispatcher::new(settings, seed),
            endpoints: Vec::new(),
            loads: BTreeMap::new(),
            next_turn: 0,
        }
    }

    pub(crate) fn dispatcher(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    pub(crate) fn apply_endpoint_list(&mut self, now: Duration, endpoints: &[EndpointRecord]) {
        self.dispatcher.update_endpoints(now, endpoints);
        self.endpoints = endpoints.to_vec();
    }

    pub(crate) fn choose(&mut self, now: Duration, request: &Request<'_>) -> Decision {
        match self.policy {
            Policy::Dispatcher => match self.dispatcher.choose(now, request) {
                Ok(Choice {
                    instance, ticket, ..
                }) => Decision::Send(instance, Some(ticket)),
                Err(Refusal { retry_after, .. }) => Decision::Refuse(retry_after),
            },
            Policy::RoundRobin | Policy::LeastLoad => self.choose_baseline(request),
        }
    }

    fn choose_baseline(&mut self, request: &Request<'_>) -> Decision {
        self.next_turn += 1;
        let candidates: Vec<&EndpointRecord> = (self.endpoints.iter())
            .filter(|e| e.service == request.service)
            .collect();
        if candidates.is_empty() || request.repeated {
            return Decision::Refuse(request.time_left / 4);
        }
        let offset = self.next_turn % candidates.len();
        let load = |e: &EndpointRecord| {
            let load = self.loads.get(&e.instance);
            load.map_or(0, |l| l.running + l.waiting)
        };
        let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
        let chosen = match self.policy {
            Policy::LeastLoad => rotated.min_by_key(|e| load(e)),
            Policy::Dispatcher | Policy::RoundRobin => Some(&candidates[offset]),
        };
        match chosen {
            Some(e) => Decision::Send(e.instance.clone(), None),
            None => Decision::Refuse(request.time_left / 4),
        }
    }

    pub(crate) fn handle_outcome(
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
