use super::State;
use super::apply::{conflict, refused};
use crate::validate::{is_valid_name, validate_bootstrap};
use crate::{AuditChange, Command, Config, ConfigChange, Outcome, VersionedProfile};
use mangospindle_model::{
    Endpoint, EndpointId, Entry, ErrorKind, Profile, RegionId, ServiceId, Topology,
};

impl State {
    pub(super) fn bootstrap(
        &mut self,
        command: &Command,
        topology: &Topology,
        profiles: &[Profile],
    ) -> Outcome {
        if self.config.version > 0 {
            return self.done();
        }
        if let Err(reason) = validate_bootstrap(topology, profiles) {
            return refused(ErrorKind::InvalidChange, &reason);
        }
        self.config = Config::bootstrap(topology.clone(), profiles.to_vec());
        self.owned_since_ms = vec![self.clock.elapsed_ms; topology.endpoints.len()];
        let change = AuditChange::Bootstrap {
            entries: topology.entries.len(),
            endpoints: topology.endpoints.len(),
            profiles: self.config.profiles.keys().cloned().collect(),
        };
        self.append_audit_record(command, change);
        self.done()
    }

    pub(super) fn put_profile(
        &mut self,
        command: &Command,
        profile: &Profile,
        base_version: u64,
    ) -> Outcome {
        if let Err(reason) = profile.validate().map_err(|e| e.to_string()) {
            return refused(ErrorKind::InvalidChange, &reason);
        }
        if let Err(outcome) = self.check_profile_version(&profile.name, base_version) {
            return outcome;
        }
        let version = match base_version {
            0 => self.deleted_profile_version + 1,
            base => base + 1,
        };
        let versioned = VersionedProfile {
            version,
            profile: profile.clone(),
        };
        self.apply_change(command, ConfigChange::PutProfile(versioned));
        self.done()
    }

    pub(super) fn delete_profile(
        &mut self,
        command: &Command,
        name: &str,
        base_version: u64,
    ) -> Outcome {
        if !self.config.profiles.contains_key(name) {
            return refused(
                ErrorKind::NotFound,
                &format!("there is no profile `{name}`"),
            );
        }
        if let Err(outcome) = self.check_profile_version(name, base_version) {
            return outcome;
        }
        let services = &self.config.topology.services;
        if let Some(dependent) = services.iter().find(|s| s.profile == name) {
            let reason = format!("service `{}` runs under profile `{name}`", dependent.name);
            return refused(ErrorKind::InvalidChange, &reason);
        }
        self.deleted_profile_version = self.deleted_profile_version.max(base_version);
        self.apply_change(command, ConfigChange::DeleteProfile(name.to_string()));
        self.done()
    }

    /// Checks that a profile has the base version, which is 0 for a profile that does not exist.
    fn check_profile_version(&self, name: &str, base_version: u64) -> Result<(), Outcome> {
        let current = self.config.profiles.get(name).map_or(0, |v| v.version);
        if current == base_version {
            return Ok(());
        }
        let detail = match current {
            0 => format!("profile `{name}` does not exist"),
            version => format!("profile `{name}` is at version {version}"),
        };
        Err(conflict(detail, Some(current)))
    }

    pub(super) fn assign_profile(
        &mut self,
        command: &Command,
        service: ServiceId,
        profile: &str,
        base_profile: &str,
    ) -> Outcome {
        let Some(current_service) = self.config.topology.services.get(service.index()) else {
            return refused(ErrorKind::UnknownService, "there is no such service");
        };
        if current_service.profile != base_profile {
            let detail = format!(
                "service `{}` runs under `{}`",
                current_service.name, current_service.profile
            );
            return conflict(detail, None);
        }
        if !self.config.profiles.contains_key(profile) {
            let reason = format!("there is no profile `{profile}`");
            return refused(ErrorKind::InvalidChange, &reason);
        }
        if current_service.profile != profile {
            let change = ConfigChange::AssignProfile(service, profile.to_string());
            self.apply_change(command, change);
        }
        self.done()
    }

    pub(super) fn set_region_limit(
        &mut self,
        command: &Command,
        region: RegionId,
        max_in_progress: u32,
        base: u32,
    ) -> Outcome {
        let Some(current_region) = self.config.topology.regions.get(region.index()) else {
            return refused(ErrorKind::NotFound, "there is no such region");
        };
        let current = current_region.max_in_progress;
        if current != base {
            let detail = format!("the limit of region `{}` is {current}", current_region.name);
            return conflict(detail, Some(u64::from(current)));
        }
        if current != max_in_progress {
            self.apply_change(
                command,
                ConfigChange::SetRegionLimit(region, max_in_progress),
            );
        }
        self.done()
    }

    pub(super) fn set_endpoint_drain(
        &mut self,
        command: &Command,
        endpoint: EndpointId,
        drain: bool,
    ) -> Outcome {
        match self.config.endpoint_drain.get(endpoint.index()) {
            None => return refused(ErrorKind::NotFound, "there is no such endpoint"),
            Some(current) if *current == drain => {}
            Some(_) => self.apply_change(command, ConfigChange::SetEndpointDrain(endpoint, drain)),
        }
        self.done()
    }

    pub(super) fn add_entry(&mut self, command: &Command, entry: &Entry) -> Outcome {
        let mut topology = self.config.topology.clone();
        topology.entries.push(entry.clone());
        let fits_id_type = u16::try_from(topology.entries.len()).is_ok();
        if let Err(outcome) = check_addition(&topology, &entry.name, fits_id_type) {
            return outcome;
        }
        self.apply_change(command, ConfigChange::AddEntry(entry.clone()));
        self.assign_unowned_endpoints(command);
        self.done()
    }

    pub(super) fn add_endpoint(&mut self, command: &Command, endpoint: &Endpoint) -> Outcome {
        let mut topology = self.config.topology.clone();
        topology.endpoints.push(endpoint.clone());
        let fits_id_type = u32::try_from(topology.endpoints.len()).is_ok();
        if let Err(outcome) = check_addition(&topology, &endpoint.name, fits_id_type) {
            return outcome;
        }
        self.apply_change(command, ConfigChange::AddEndpoint(endpoint.clone()));
        self.owned_since_ms.push(self.clock.elapsed_ms);
        self.assign_unowned_endpoints(command);
        self.done()
    }
}

fn check_addition(topology: &Topology, name: &str, fits_id_type: bool) -> Result<(), Outcome> {
    let reason = match topology.validate() {
        Err(e) => e.to_string(),
        Ok(()) if !is_valid_name(name) => format!("the name `{name}` is not allowed"),
        Ok(()) if !fits_id_type => "there are too many items".to_string(),
        Ok(()) => return Ok(()),
    };
    Err(refused(ErrorKind::InvalidChange, &reason))
}
