use mangospindle_dispatch::LoadReading;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use std::collections::VecDeque;
use std::time::Duration;

/// An endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) service: usize,
    pub(crate) place: usize,
    pub(crate) record: EndpointRecord,
    pub(crate) alive: bool,
    pub(crate) cold_until: Duration,
    pub(crate) running: Vec<usize>,
    pub(crate) waiting: VecDeque<usize>,
    known: VecDeque<u64>,
    /// Counts starts, so that work of an earlier start never ends in a later one.
    pub(crate) start: u64,
    /// Arrivals while cold, for the peak in one second.
    cold_arrivals: VecDeque<Duration>,
}

impl Endpoint {
    pub(crate) fn new(service: usize, place: usize, record: EndpointRecord) -> Self {
        Endpoint {
            service,
            place,
            record,
            alive: true,
            cold_until: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            known: VecDeque::new(),
            start: 0,
            cold_arrivals: VecDeque::new(),
        }
    }

    pub(crate) fn load(&self) -> LoadReading {
        LoadReading {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.record.slots,
        }
    }

    /// Uses an object; returns whether it was known.
    pub(crate) fn touch(&mut self, object: u64, remembered: usize) -> bool {
        let known = self.known.contains(&object);
        self.known.retain(|o| *o != object);
        self.known.push_back(object);
        if self.known.len() > remembered {
            self.known.pop_front();
        }
        known
    }

    /// Counts an arrival; returns how many came within a second while the endpoint was cold.
    pub(crate) fn count_cold(&mut self, now: Duration) -> u32 {
        if now >= self.cold_until {
            return 0;
        }
        self.cold_arrivals.push_back(now);
        while self
            .cold_arrivals
            .front()
            .is_some_and(|at| *at + Duration::from_secs(1) <= now)
        {
            self.cold_arrivals.pop_front();
        }
        self.cold_arrivals.len() as u32
    }

    /// Forgets a request that was given up.
    pub(crate) fn drop_request(&mut self, request: usize) {
        self.running.retain(|r| *r != request);
        self.waiting.retain(|r| *r != request);
    }

    /// Ends the process; returns the requests that it held.
    pub(crate) fn kill(&mut self) -> Vec<usize> {
        self.alive = false;
        self.start += 1;
        self.known.clear();
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(self.waiting.drain(..)).collect()
    }

    /// Starts the process again under a new identifier.
    pub(crate) fn revive(&mut self, now: Duration, cold_start: Duration) {
        self.alive = true;
        self.start += 1;
        self.cold_until = now + cold_start;
        self.record.instance = format!("{}+", self.record.instance);
        self.record.state = EndpointState::Ready;
    }
}
