use crate::share_history::ShareHistory;
use mangospindle_model::Profile;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits the admissions of one service for clients of one other home region, by a sliding window
/// and an adaptive pace.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrossRegionLimiter {
    /// Shares of the cross-region limit, for each endpoint of the serving region.
    pub(crate) shares: ShareHistory,
    /// Times of the admissions in the window, oldest first.
    admission_times: VecDeque<Duration>,
    last_admission_at: Option<Duration>,
    /// Pace at the last update, as a fraction of the owner's quota. Zero before the first
    /// admission.
    last_pace: f64,
    last_growth_at: Option<Duration>,
    last_halving_at: Option<Duration>,
}

impl CrossRegionLimiter {
    /// Length of the window: the one second of the limit plus the assumed clock drift of 1%.
    pub(crate) const WINDOW: Duration = Duration::from_millis(1_010);
    /// Time without admissions after which the caches count as cold and the pace is reset.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
    /// Minimum time between two halvings, so that a burst of bad answers halves the pace only once.
    const MIN_HALVING_INTERVAL: Duration = Duration::from_millis(500);

    /// Whether one more request may be admitted now. `quota` is the owner's quota of the limit per
    /// window.
    pub(crate) fn allows(&self, now: Duration, quota: u32, profile: &Profile) -> bool {
        let newest_first = self.admission_times.iter().rev();
        let count = newest_first
            .take_while(|t| now < **t + Self::WINDOW)
            .count();
        let admissions_per_window =
            (self.current_pace(now, profile) * f64::from(quota)).min(f64::from(quota));
        let within_pace = match self.last_admission_at {
            // A pace below one admission per window becomes a minimum gap longer than the window.
            Some(last) if admissions_per_window < 1.0 => {
                let min_gap_s = Self::WINDOW.as_secs_f64() / admissions_per_window.max(1e-9);
                now.saturating_sub(last).as_secs_f64() >= min_gap_s
            }
            Some(_) => (count as f64) < admissions_per_window.floor(),
            None => true,
        };
        within_pace && count < quota as usize
    }

    /// Records an admission.
    pub(crate) fn record_admission(&mut self, now: Duration, profile: &Profile) {
        self.last_pace = self.current_pace(now, profile);
        while (self.admission_times.front()).is_some_and(|t| *t + Self::WINDOW <= now) {
            self.admission_times.pop_front();
        }
        self.admission_times.push_back(now);
        self.last_admission_at = Some(now);
    }

    /// Records the result of an admitted request. The pace grows with fast, successful answers and
    /// is halved by errors and slow answers.
    pub(crate) fn record_result(&mut self, now: Duration, fast_success: bool, profile: &Profile) {
        let pace = self.current_pace(now, profile);
        if fast_success {
            // The pace grows by at most one second's growth, also after a longer pause.
            let since_growth = self.last_growth_at.map_or(Duration::ZERO, |t| now - t);
            let seconds = since_growth.as_secs_f64().min(1.0);
            let factor = profile.pace_growth.max(1.0).powf(seconds);
            self.last_pace = (pace * factor).min(1.0);
            self.last_growth_at = Some(now);
        } else if (self.last_halving_at).is_none_or(|t| now >= t + Self::MIN_HALVING_INTERVAL) {
            self.last_pace = (pace / 2.0).max(Self::start_pace(profile));
            self.last_halving_at = Some(now);
            self.last_growth_at = Some(now);
        }
    }

    /// Pace of the profile for cold caches, as a fraction of the quota; at least 0.001.
    fn start_pace(profile: &Profile) -> f64 {
        match profile.pace_start {
            start if start.is_finite() => start.clamp(0.001, 1.0),
            _ => 0.001,
        }
    }

    /// Pace at `now`, as a fraction of the quota.
    fn current_pace(&self, now: Duration, profile: &Profile) -> f64 {
        let idle = self
            .last_admission_at
            .is_none_or(|last| now > last + Self::IDLE_TIMEOUT);
        match idle {
            true => Self::start_pace(profile),
            false => self.last_pace.max(Self::start_pace(profile)),
        }
    }
}
