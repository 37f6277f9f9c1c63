use std::time::Duration;

/// Time for which all reports must be lower before the number of entries falls. Longer than most
/// network partitions.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of entries in this region, including this one.
///
/// It rises with the first report of more entries and falls when all reports of a minute were lower,
/// to the highest of these. Entries that are partitioned from the control replicas are not counted as
/// live but still send requests, and a replica that was partitioned or has just started reports too
/// few.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionEntries {
    /// Falling numbers, each with the time since which no report was higher.
    highest_since: Vec<(u32, Duration)>,
}

impl RegionEntries {
    /// The number in force; one before the first report.
    pub(crate) fn count(&self) -> u32 {
        self.highest_since.first().map_or(1, |(count, _)| *count)
    }

    /// Records a report of the number of live entries.
    pub(crate) fn record(&mut self, now: Duration, reported: u32) {
        let reported = reported.max(1);
        let higher = self.highest_since.partition_point(|(c, _)| *c > reported);
        let since = self.highest_since.get(higher).map_or(now, |(_, at)| *at);
        self.highest_since.truncate(higher);
        self.highest_since.push((reported, since));
        let is_past = |(_, since): &(u32, Duration)| now.saturating_sub(*since) >= RETENTION;
        let in_force = self.highest_since.iter().rposition(is_past).unwrap_or(0);
        self.highest_since.drain(..in_force);
    }
}
