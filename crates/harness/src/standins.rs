use awc::Client;
use mangospindle_standin::{Behaviour, Report};
use miette::{Result, bail, miette};
use serde_json::json;
use std::net::SocketAddr;

/// Access to the endpoint stand-ins and the VM list of a cluster.
#[derive(Clone, Debug)]
pub struct Standins {
    /// Report and behaviour listeners, one for each region.
    pub admin: Vec<SocketAddr>,
    /// The VM list.
    pub vm_list: SocketAddr,
}

impl Standins {
    /// Counts of the endpoints of all reachable stand-in processes.
    pub async fn report(&self) -> Result<Report> {
        let mut all = Report::default();
        for (region, admin) in self.admin.iter().enumerate() {
            let url = format!("http://{admin}/report");
            let Ok(mut answer) = Client::default().get(url).send().await else {
                continue;
            };
            let report: Report = answer
                .json()
                .limit(64 << 20)
                .await
                .map_err(|e| miette!("report of stand-in {region}: {e}"))?;
            all.endpoints.extend(report.endpoints);
            let regions = report.regions.into_iter();
            all.regions
                .extend(regions.filter(|(_, r)| r.max_in_progress > 0));
        }
        Ok(all)
    }

    /// Changes the behaviour of endpoints, of all if the list is empty.
    pub async fn set_behaviour(&self, endpoints: &[&str], behaviour: Behaviour) -> Result<()> {
        let change = json!({"endpoints": endpoints, "behaviour": behaviour});
        let mut changed = false;
        for admin in &self.admin {
            let url = format!("http://{admin}/behaviour");
            let answer = Client::default().put(url).send_json(&change).await;
            changed |= answer.is_ok_and(|a| a.status().is_success());
        }
        match changed {
            true => Ok(()),
            false => bail!("no stand-in has the endpoints {endpoints:?}"),
        }
    }

    /// Replaces the platform's VM list by pairs of name and state (`live` or `leaving`).
    pub async fn set_vms(&self, vms: &[(String, String)]) -> Result<()> {
        let vms: Vec<_> = (vms.iter())
            .map(|(name, state)| json!({"name": name, "state": state}))
            .collect();
        let url = format!("http://{}/vms", self.vm_list);
        let answer = Client::default()
            .put(url)
            .send_json(&json!({"vms": vms}))
            .await;
        match answer {
            Ok(answer) if answer.status().is_success() => Ok(()),
            Ok(answer) => bail!("the VM list answered {}", answer.status()),
            Err(e) => bail!("the VM list does not answer: {e}"),
        }
    }
}
