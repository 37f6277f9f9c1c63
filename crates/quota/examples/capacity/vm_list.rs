use crate::cpu_time::mean_cpu_us;
use serde::{Deserialize, Serialize};
use std::hint::black_box;

/// The platform's VM list, which entries and the control leader read every second.
#[derive(Serialize, Deserialize)]
pub struct VmList {
    vms: Vec<Vm>,
}

#[derive(Serialize, Deserialize)]
struct Vm {
    name: String,
    state: String,
}

impl VmList {
    /// Creates a list of live VMs with the given names.
    pub fn with_live_vms<'a, I>(names: I) -> Self
    where
        I: Iterator<Item = &'a String>,
    {
        let live = |name: &String| Vm {
            name: name.clone(),
            state: "live".to_string(),
        };
        VmList {
            vms: names.map(live).collect(),
        }
    }

    /// Size of the list as JSON in bytes, and the CPU time to parse it in microseconds.
    pub fn parse_cost(&self) -> (usize, f64) {
        let json = serde_json::to_vec(self).expect("the list can be encoded as JSON");
        let parse_us = mean_cpu_us(|| {
            let list: VmList =
                serde_json::from_slice(&json).expect("the JSON encoded above can be parsed");
            drop(black_box(list));
        });
        (json.len(), parse_us)
    }
}
