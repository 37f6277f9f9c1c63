use mangospindle_bench::LoadPlan;
use mangospindle_harness::{Cluster, Fault};
use mangospindle_model::{FailureDomainId, RegionId};
use mangospindle_standin::Behaviour;
use miette::{Result, bail};
use std::str::FromStr;

/// Factor of the first region's arrivals in the rush.
const RUSH_FACTOR: f64 = 8.0;

/// Factor of the processing time of slow endpoints.
const SLOW_FACTOR: u64 = 10;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Nothing.
    Calm,
    /// The first region has a multiple of the arrivals of the others from the start.
    Rush,
    /// The first failure domain is lost.
    DomainLost,
    /// The first region is lost; its clients remain.
    RegionLost,
    /// The first failure domain is cut off from the others, but not from callers.
    DomainCutOff,
    /// One endpoint of each service, 1 in 12, is slow.
    Slow,
    /// Every other endpoint keeps reporting its last reading.
    Frozen,
}

impl Case {
    /// All cases and their names.
    pub const ALL: [(Case, &'static str); 7] = [
        (Case::Calm, "calm"),
        (Case::Rush, "rush"),
        (Case::DomainLost, "domain-lost"),
        (Case::RegionLost, "region-lost"),
        (Case::DomainCutOff, "domain-cut-off"),
        (Case::Slow, "slow"),
        (Case::Frozen, "frozen"),
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        let found = Case::ALL.into_iter().find(|(case, _)| *case == self);
        found.map_or("", |(_, name)| name)
    }

    /// Changes the load for the case.
    pub fn adjust(self, plan: &mut LoadPlan) {
        if self == Case::Rush {
            for traffic in &mut plan.traffic {
                traffic.rate_by_region[0] *= RUSH_FACTOR;
            }
        }
    }

    /// Brings the fault about. `normal` is the behaviour of endpoints without a fault.
    pub async fn begin(self, cluster: &mut Cluster, normal: Behaviour) -> Result<()> {
        match self {
            Case::Calm | Case::Rush => {}
            Case::DomainLost => cluster.lose_domain(FailureDomainId(0))?,
            Case::RegionLost => {
                for domain in cluster.domains_of_region(RegionId(0).0) {
                    cluster.lose_domain(domain)?;
                }
            }
            Case::DomainCutOff => cluster.set_partition(&[FailureDomainId(0)], Fault::CUT),
            Case::Slow => {
                let behaviour = Behaviour {
                    service_time_ms: normal.service_time_ms * SLOW_FACTOR,
                    ..normal
                };
                let names = slow_endpoints(cluster);
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                cluster.standins.set_behaviour(&names, behaviour).await?;
            }
            Case::Frozen => {
                let behaviour = Behaviour {
                    freeze_readings: true,
                    ..normal
                };
                let endpoints = cluster.topology().endpoints.iter().step_by(2);
                let names: Vec<&str> = endpoints.map(|e| e.name.as_str()).collect();
                cluster.standins.set_behaviour(&names, behaviour).await?;
            }
        }
        Ok(())
    }
}

/// The first endpoint of each service.
fn slow_endpoints(cluster: &Cluster) -> Vec<String> {
    let topology = cluster.topology();
    let first = |service: usize| {
        let mut endpoints = topology.endpoints.iter();
        endpoints.find(|e| e.service.index() == service)
    };
    (0..topology.services.len())
        .filter_map(first)
        .map(|e| e.name.clone())
        .collect()
}

impl FromStr for Case {
    type Err = miette::Report;

    fn from_str(text: &str) -> Result<Self> {
        match Case::ALL.into_iter().find(|(_, name)| *name == text) {
            Some((case, _)) => Ok(case),
            None => bail!("no case `{text}`"),
        }
    }
}
