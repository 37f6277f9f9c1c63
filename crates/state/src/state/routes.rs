use super::State;
use super::apply::refused;
use crate::validate::is_valid_name;
use crate::{Command, ConfigChange, Outcome};
use mangospindle_model::{ErrorKind, RouteTable, WorkspaceTable};

impl State {
    /// Replaces the route table and its workspaces. A resend, or a table whose number is not above the
    /// current one, is acknowledged without effect.
    pub(super) fn put_routes(
        &mut self,
        command: &Command,
        table: &RouteTable,
        workspaces: &WorkspaceTable,
        document: &str,
    ) -> Outcome {
        if let Err(outcome) = check_routes(table, workspaces) {
            return outcome;
        }
        if table.number > self.config.routes.number {
            self.replace_routes(command, table, workspaces, document);
        }
        self.done()
    }

    /// Sets the first route table and its workspaces. Is acknowledged without effect if there is a table.
    pub(super) fn put_first_routes(
        &mut self,
        command: &Command,
        table: &RouteTable,
        workspaces: &WorkspaceTable,
        document: &str,
    ) -> Outcome {
        if let Err(outcome) = check_routes(table, workspaces) {
            return outcome;
        }
        if !self.config.routes.is_set() && self.route_document.is_empty() {
            self.replace_routes(command, table, workspaces, document);
        }
        self.done()
    }

    fn replace_routes(
        &mut self,
        command: &Command,
        table: &RouteTable,
        workspaces: &WorkspaceTable,
        document: &str,
    ) {
        let routes = Box::new(self.config.routes.change_to(table));
        let change = match self.config.routes.workspaces.change_to(workspaces) {
            None => ConfigChange::UpdateRoutes(routes),
            Some(change) => ConfigChange::UpdateRoutesAndWorkspaces(routes, Box::new(change)),
        };
        self.route_document = document.to_string();
        self.apply_change(command, change);
    }

    pub(super) fn set_evacuation(
        &mut self,
        command: &Command,
        failure_domain: &str,
        evacuate: bool,
    ) -> Outcome {
        if !is_valid_name(failure_domain) {
            return refused(
                ErrorKind::InvalidChange,
                "the name of the failure domain is not allowed",
            );
        }
        if self.config.evacuated.contains(failure_domain) != evacuate {
            let change = ConfigChange::SetEvacuation(failure_domain.to_string(), evacuate);
            self.apply_change(command, change);
        }
        self.done()
    }
}

fn check_routes(table: &RouteTable, workspaces: &WorkspaceTable) -> Result<(), Outcome> {
    let invalid = |e: &dyn std::fmt::Display| refused(ErrorKind::InvalidChange, &e.to_string());
    table.validate().map_err(|e| invalid(&e))?;
    workspaces.validate().map_err(|e| invalid(&e))
}
