use crate::SettingsError;
use crate::deployment_file::DeploymentFile;
use crate::source::{Place, Source, place};
use mangospindle_model::{
    ClientRange, Endpoint, Entry, FailureDomain, FailureDomainId, Link, Profile, Region, RegionId,
    Service, ServiceId, Topology,
};
use std::path::Path;

/// The first configuration of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The topology.
    pub topology: Topology,
    /// The profiles.
    pub profiles: Vec<Profile>,
}

impl Deployment {
    /// Reads and checks a deployment file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_source(&Source::read(path)?)
    }

    /// Parses and checks a deployment; `name` stands for the file in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::from_source(&Source::from_text(name, text))
    }

    fn from_source(source: &Source) -> Result<Self, SettingsError> {
        let file: DeploymentFile = source.parse()?;
        let profiles: Vec<Profile> = (file.profiles.iter().cloned()).map(Profile::from).collect();
        check_profiles(source, &profiles)?;
        let topology = Builder {
            source,
            file: &file,
        }
        .topology(&profiles)?;
        topology
            .validate()
            .map_err(|e| source.error(&place![], e.to_string(), None))?;
        Ok(Deployment { topology, profiles })
    }
}

fn check_profiles(source: &Source, profiles: &[Profile]) -> Result<(), SettingsError> {
    for (i, profile) in profiles.iter().enumerate() {
        if let Err(e) = profile.validate() {
            return Err(source.error(&place!["profiles", i], e.to_string(), None));
        }
        if profiles[..i].iter().any(|p| p.name == profile.name) {
            let message = format!("there are two profiles `{}`", profile.name);
            return Err(source.error(&place!["profiles", i, "name"], message, None));
        }
    }
    Ok(())
}

/// Resolves names in a file to keys.
struct Builder<'a> {
    source: &'a Source,
    file: &'a DeploymentFile,
}

impl Builder<'_> {
    fn topology(&self, profiles: &[Profile]) -> Result<Topology, SettingsError> {
        Ok(Topology {
            regions: self.regions(),
            failure_domains: self.failure_domains()?,
            entries: self.entries()?,
            services: self.services(profiles)?,
            endpoints: self.endpoints()?,
            links: self.links()?,
            client_ranges: self.client_ranges()?,
        })
    }

    fn region(&self, name: &str, place: Place) -> Result<RegionId, SettingsError> {
        let names = self.file.regions.iter().map(|r| r.name.as_str());
        Ok(RegionId(self.find("region", name, names, place)? as u16))
    }

    fn domain(&self, name: &str, place: Place) -> Result<FailureDomainId, SettingsError> {
        let names = self.file.failure_domains.iter().map(|d| d.name.as_str());
        let i = self.find("failure domain", name, names, place)?;
        Ok(FailureDomainId(i as u16))
    }

    fn service(&self, name: &str, place: Place) -> Result<ServiceId, SettingsError> {
        let names = self.file.services.iter().map(|s| s.name.as_str());
        Ok(ServiceId(self.find("service", name, names, place)? as u16))
    }

    fn find<'a, I>(
        &self,
        what: &str,
        name: &str,
        names: I,
        place: Place,
    ) -> Result<usize, SettingsError>
    where
        I: Iterator<Item = &'a str> + Clone,
    {
        match names.clone().position(|n| n == name) {
            Some(i) => Ok(i),
            None => {
                let known: Vec<&str> = names.collect();
                Err(self.source.error(
                    &place,
                    format!("there is no {what} `{name}`"),
                    Some(format!("known: {}", known.join(", "))),
                ))
            }
        }
    }

    fn regions(&self) -> Vec<Region> {
        (self.file.regions.iter())
            .map(|r| Region {
                name: r.name.clone(),
                max_in_progress: r.max_in_progress,
            })
            .collect()
    }

    fn failure_domains(&self) -> Result<Vec<FailureDomain>, SettingsError> {
        let convert = |(i, d): (usize, &crate::deployment_file::FailureDomainFile)| {
            let region = self.region(&d.region, place!["failure_domains", i, "region"])?;
            Ok(FailureDomain {
                name: d.name.clone(),
                region,
            })
        };
        (self.file.failure_domains.iter().enumerate())
            .map(convert)
            .collect()
    }

    fn entries(&self) -> Result<Vec<Entry>, SettingsError> {
        let convert = |(i, e): (usize, &crate::deployment_file::EntryFile)| {
            let place = place!["entries", i, "failure_domain"];
            Ok(Entry {
                name: e.name.clone(),
                failure_domain: self.domain(&e.failure_domain, place)?,
                public_address: e.public_address,
                internal_address: e.internal_address,
            })
        };
        (self.file.entries.iter().enumerate())
            .map(convert)
            .collect()
    }

    fn services(&self, profiles: &[Profile]) -> Result<Vec<Service>, SettingsError> {
        let names = profiles.iter().map(|p| p.name.as_str());
        let convert = |(i, s): (usize, &crate::deployment_file::ServiceFile)| {
            let place = place!["services", i, "profile"];
            self.find("profile", &s.profile, names.clone(), place)?;
            Ok(Service {
                name: s.name.clone(),
                write_class: s.write_class,
                max_deadline: s.max_deadline.0,
                profile: s.profile.clone(),
            })
        };
        (self.file.services.iter().enumerate())
            .map(convert)
            .collect()
    }

    fn endpoints(&self) -> Result<Vec<Endpoint>, SettingsError> {
        let mut endpoints = Vec::new();
        for (i, group) in self.file.endpoints.iter().enumerate() {
            let service = self.service(&group.service, place!["endpoints", i, "service"])?;
            let place = place!["endpoints", i, "failure_domain"];
            let failure_domain = self.domain(&group.failure_domain, place)?;
            for (n, address) in group.addresses.iter().enumerate() {
                endpoints.push(Endpoint {
                    name: format!("{}-{}-{}", group.service, group.failure_domain, n + 1),
                    service,
                    failure_domain,
                    address: *address,
                    slots: group.slots,
                    max_connections: group.max_connections,
                });
            }
        }
        Ok(endpoints)
    }

    fn links(&self) -> Result<Vec<Link>, SettingsError> {
        let mut links = Vec::new();
        for (i, link) in self.file.links.iter().enumerate() {
            let a = self.region(&link.between[0], place!["links", i, "between", 0])?;
            let b = self.region(&link.between[1], place!["links", i, "between", 1])?;
            links.extend([(a, b), (b, a)].map(|(from, to)| Link {
                from,
                to,
                bits_per_second: link.capacity.0,
                latency_us: link.latency.0.as_micros() as u32,
            }));
        }
        Ok(links)
    }

    fn client_ranges(&self) -> Result<Vec<ClientRange>, SettingsError> {
        let convert = |(i, c): (usize, &crate::deployment_file::ClientRangeFile)| {
            Ok(ClientRange {
                net: c.net,
                block_prefix: c.block_prefix,
                region: self.region(&c.region, place!["client_ranges", i, "region"])?,
            })
        };
        (self.file.client_ranges.iter().enumerate())
            .map(convert)
            .collect()
    }
}
