use crate::cpu_time::mean_us;
use serde::{Deserialize, Serialize};
use std::hint::black_box;

/// The platform's list of VMs, as entries and the control leader read it every second.
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
    /// A list of live VMs with these names.
    pub fn live<'a, I>(names: I) -> Self
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

    /// Bytes of the list as JSON, and microseconds of processor time to parse it.
    pub fn cost(&self) -> (usize, f64) {
        let json = serde_json::to_vec(self).expect("plain data can be encoded");
        let parse_us = mean_us(|| {
            let list: VmList = serde_json::from_slice(&json).expect("the list encoded above");
            drop(black_box(list));
        });
        (json.len(), parse_us)
    }
}
