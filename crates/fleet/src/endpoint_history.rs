use crate::endpoint_list::COLD_END_TOLERANCE;
use crate::{EndpointDifference, EndpointList};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of versions for which the difference to the current one is known. A reading each
/// 0.7 s that always differs covers three quarters of a minute.
const MAX_VERSIONS: usize = 64;

/// Maximum number of changed instances that are remembered over all versions. Bounds the memory to
/// about 1 MiB.
const MAX_CHANGED_INSTANCES: usize = 16_384;

/// The step from one version of the endpoint list to the next.
#[derive(Clone, Debug)]
struct Step {
    /// Digest of the earlier version.
    base: u64,
    /// Instances that were added, changed or removed.
    instances: Vec<String>,
}

/// The latest changes of the endpoint list. Holders of an older version get a difference instead of
/// the whole list.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointHistory {
    steps: VecDeque<Step>,
    instance_count: usize,
}

impl EndpointHistory {
    /// Records that `later` has replaced `earlier`.
    pub(crate) fn record(&mut self, earlier: &EndpointList, later: &EndpointList) {
        if earlier.digest == later.digest {
            return;
        }
        let instances = changed_instances(earlier, later);
        self.instance_count += instances.len();
        self.steps.push_back(Step {
            base: earlier.digest,
            instances,
        });
        while self.steps.len() > MAX_VERSIONS || self.instance_count > MAX_CHANGED_INSTANCES {
            let Some(oldest) = self.steps.pop_front() else {
                break;
            };
            self.instance_count -= oldest.instances.len();
        }
    }

    /// Returns the difference from the version `base` to `current`, or `None` if `base` is unknown or
    /// the difference would not be much smaller than the list.
    pub(crate) fn difference(
        &self,
        now: Duration,
        base: u64,
        current: &EndpointList,
    ) -> Option<EndpointDifference> {
        // A list can return to an earlier version. The steps since its latest occurrence suffice.
        let first = self.steps.iter().rposition(|step| step.base == base)?;
        let steps = self.steps.range(first..);
        let instances: BTreeSet<&String> = steps.flat_map(|step| &step.instances).collect();
        if instances.len() > current.endpoints.len() / 2 {
            return None;
        }
        let mut difference = EndpointDifference {
            base,
            ..EndpointDifference::default()
        };
        for instance in instances {
            match current.endpoint_at(now, instance) {
                Some(endpoint) => difference.changed.push(endpoint),
                None => difference.removed.push(instance.clone()),
            }
        }
        Some(difference)
    }
}

/// Instances whose record or cold start differs between two lists.
fn changed_instances(earlier: &EndpointList, later: &EndpointList) -> Vec<String> {
    let added_or_changed = later.endpoints.iter().filter(|endpoint| {
        let known = earlier.endpoint(&endpoint.instance);
        let is_same = known.is_some_and(|known| known.has_same_content(endpoint));
        !is_same || cold_start_changed(earlier, later, &endpoint.instance)
    });
    let removed = (earlier.endpoints.iter()).filter(|e| later.endpoint(&e.instance).is_none());
    (added_or_changed.chain(removed))
        .map(|e| e.instance.clone())
        .collect()
}

fn cold_start_changed(earlier: &EndpointList, later: &EndpointList, instance: &str) -> bool {
    match (earlier.cold_until(instance), later.cold_until(instance)) {
        (Some(known), Some(until)) => until > known + COLD_END_TOLERANCE,
        (known, until) => known != until,
    }
}
