use mangospindle_dispatch::LoadReading;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use std::collections::VecDeque;
use std::time::Duration;

/// State of an emulated endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) service: usize,
    pub(crate) domain: usize,
    pub(crate) record: EndpointRecord,
    pub(crate) alive: bool,
    pub(crate) cold_until: Duration,
    pub(crate) running: Vec<usize>,
    pub(crate) waiting: VecDeque<usize>,
    working_set: VecDeque<u64>,
    /// Incremented on each stop and start, so that completions scheduled before are ignored.
    pub(crate) incarnation: u64,
    /// Arrivals while cold, within the last second.
    cold_arrivals: VecDeque<Duration>,
}

impl Endpoint {
    pub(crate) fn new(service: usize, domain: usize, record: EndpointRecord) -> Self {
        Endpoint {
            service,
            domain,
            record,
            alive: true,
            cold_until: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            working_set: VecDeque::new(),
            incarnation: 0,
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

    /// Moves an object to the most recent position of the working set. Returns whether it was
    /// already there.
    pub(crate) fn touch(&mut self, object: u64, working_set_size: usize) -> bool {
        let in_working_set = self.working_set.contains(&object);
        self.working_set.retain(|o| *o != object);
        self.working_set.push_back(object);
        if self.working_set.len() > working_set_size {
            self.working_set.pop_front();
        }
        in_working_set
    }

    /// Records an arrival if the endpoint is cold. Returns the number of arrivals within the last
    /// second while cold, or 0 if the endpoint is not cold.
    pub(crate) fn record_cold_arrival(&mut self, now: Duration) -> u32 {
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

    /// Removes a request whose deadline has passed.
    pub(crate) fn remove_request(&mut self, request: usize) {
        self.running.retain(|r| *r != request);
        self.waiting.retain(|r| *r != request);
    }

    /// Stops the process. Returns the requests that were running or queued.
    pub(crate) fn kill(&mut self) -> Vec<usize> {
        self.alive = false;
        self.incarnation += 1;
        self.working_set.clear();
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(self.waiting.drain(..)).collect()
    }

    /// Restarts the process, cold and with a new instance identifier.
    pub(crate) fn restart(&mut self, now: Duration, cold_start: Duration) {
        self.alive = true;
        self.incarnation += 1;
        self.cold_until = now + cold_start;
        self.record.instance = format!("{}+", self.record.instance);
        self.record.state = EndpointState::Ready;
    }
}
