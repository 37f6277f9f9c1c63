use crate::share_history::ShareHistory;
use mangospindle_model::Profile;
use std::collections::VecDeque;
use std::time::Duration;

/// Admissions of one service for clients of one other home region: sliding window and pacer.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrossRegion {
    /// Shares of the limit, for each endpoint of the serving region.
    pub(crate) shares: ShareHistory,
    admitted: VecDeque<Duration>,
    last: Option<Duration>,
    /// Pace as a fraction of the owner's part; zero before the first use.
    fraction: f64,
    grown_at: Option<Duration>,
    halved_at: Option<Duration>,
}

impl CrossRegion {
    /// Length of the window: the second of the limit plus the assumed clock drift of 1%.
    pub(crate) const WINDOW: Duration = Duration::from_millis(1_010);
    /// How long the pace is kept without admissions. Later, the caches count as cold again.
    const IDLE: Duration = Duration::from_secs(60);
    /// Shortest time between two halvings, so that the answers to requests of one moment halve the
    /// pace once.
    const HALVING_PAUSE: Duration = Duration::from_millis(500);

    /// Whether one more request may be admitted now, with `part` as the owner's part of the limit.
    pub(crate) fn admits(&self, now: Duration, part: u32, profile: &Profile) -> bool {
        let in_window = self.admitted.iter().rev();
        let count = in_window.take_while(|t| now < **t + Self::WINDOW).count();
        let pace = (self.pace(now, profile) * f64::from(part)).min(f64::from(part));
        let paced = match self.last {
            // A pace below one request per window is carried as a longer window.
            Some(last) if pace < 1.0 => {
                let gap_s = Self::WINDOW.as_secs_f64() / pace.max(1e-9);
                now.saturating_sub(last).as_secs_f64() >= gap_s
            }
            Some(_) => (count as f64) < pace.floor(),
            None => true,
        };
        paced && count < part as usize
    }

    /// Counts an admission.
    pub(crate) fn admit(&mut self, now: Duration, profile: &Profile) {
        self.fraction = self.pace(now, profile);
        while (self.admitted.front()).is_some_and(|t| *t + Self::WINDOW <= now) {
            self.admitted.pop_front();
        }
        self.admitted.push_back(now);
        self.last = Some(now);
    }

    /// Records the answer to an admitted request. Good answers let the pace grow; errors and slow
    /// answers halve it.
    pub(crate) fn answered(&mut self, now: Duration, good: bool, profile: &Profile) {
        let pace = self.pace(now, profile);
        if good {
            // A long pause counts as one second of good answers.
            let since = self.grown_at.map_or(Duration::ZERO, |t| now - t);
            let seconds = since.as_secs_f64().min(1.0);
            let factor = profile.pace_growth.max(1.0).powf(seconds);
            self.fraction = (pace * factor).min(1.0);
            self.grown_at = Some(now);
        } else if (self.halved_at).is_none_or(|t| now >= t + Self::HALVING_PAUSE) {
            self.fraction = (pace / 2.0).max(Self::start(profile));
            self.halved_at = Some(now);
            self.grown_at = Some(now);
        }
    }

    fn start(profile: &Profile) -> f64 {
        match profile.pace_start {
            start if start.is_finite() => start.clamp(0.001, 1.0),
            _ => 0.001,
        }
    }

    fn pace(&self, now: Duration, profile: &Profile) -> f64 {
        let idle = self.last.is_none_or(|last| now > last + Self::IDLE);
        match idle {
            true => Self::start(profile),
            false => self.fraction.max(Self::start(profile)),
        }
    }
}
