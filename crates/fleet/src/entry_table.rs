use crate::{AnnouncementAge, EntryAnnouncement, EntryDifference, SlotChange, ViewVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the last announcement of an entry at which it is removed from the view.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
pub(crate) struct KnownEntry {
    pub(crate) entry: EntryAnnouncement,
    pub(crate) announced_at: Duration,
    slot: usize,
}

/// A position in the view, which an entry keeps until it is removed.
#[derive(Clone, Debug)]
struct Slot {
    /// Name of the entry; `None` if the slot is not used.
    name: Option<String>,
    /// Revision in which the slot changed last.
    changed_in: u64,
}

/// The entries that a replica knows, with a version for each change other than a new age.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryTable {
    /// Entries by VM name.
    entries: BTreeMap<String, KnownEntry>,
    slots: Vec<Slot>,
    unused_slots: Vec<usize>,
    version: ViewVersion,
}

impl EntryTable {
    pub(crate) fn new(view: u64) -> Self {
        EntryTable {
            version: ViewVersion { view, revision: 0 },
            ..EntryTable::default()
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownEntry> + Clone {
        self.entries.values()
    }

    /// Records an announcement, unless the known one of the entry is as new or newer.
    pub(crate) fn record(&mut self, entry: EntryAnnouncement, announced_at: Duration) {
        match self.entries.get_mut(&entry.name) {
            Some(known) if known.announced_at >= announced_at => {}
            Some(known) if known.entry == entry => known.announced_at = announced_at,
            _ => self.replace(entry, announced_at),
        }
    }

    /// Removes the entries that have not been heard of for long.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.remove_if(|k| now.saturating_sub(k.announced_at) >= ENTRY_RETENTION);
    }

    /// Returns what has changed since a version that another replica holds.
    pub(crate) fn difference(&self, now: Duration, known: Option<ViewVersion>) -> EntryDifference {
        let is_known =
            |v: &ViewVersion| v.view == self.version.view && v.revision <= self.version.revision;
        let base = known.filter(is_known).map_or(0, |v| v.revision);
        let changed = self.slots.iter().enumerate();
        let changed = changed.filter(|(_, slot)| slot.changed_in > base);
        EntryDifference {
            version: self.version,
            base,
            changed: changed
                .map(|(index, slot)| SlotChange {
                    slot: index as u32,
                    entry: self.entry_in(slot).map(|k| k.entry.clone()),
                })
                .collect(),
            ages: self.slots.iter().map(|slot| self.age(now, slot)).collect(),
        }
    }

    fn entry_in(&self, slot: &Slot) -> Option<&KnownEntry> {
        self.entries.get(slot.name.as_ref()?)
    }

    fn age(&self, now: Duration, slot: &Slot) -> AnnouncementAge {
        let entry = self.entry_in(slot);
        entry.map_or(AnnouncementAge::UNKNOWN, |k| {
            AnnouncementAge::new(now.saturating_sub(k.announced_at))
        })
    }

    fn replace(&mut self, entry: EntryAnnouncement, announced_at: Duration) {
        // An address belongs to the entry that announced it last.
        self.remove_if(|k| {
            let same_address = k.entry.address == entry.address;
            same_address && k.entry.name != entry.name && k.announced_at <= announced_at
        });
        let known_slot = self.entries.get(&entry.name).map(|k| k.slot);
        let slot = known_slot.or_else(|| self.unused_slots.pop());
        let slot = slot.unwrap_or(self.slots.len());
        let name = entry.name.clone();
        self.set_slot(slot, Some(name.clone()));
        let known = KnownEntry {
            entry,
            announced_at,
            slot,
        };
        self.entries.insert(name, known);
    }

    fn remove_if<F>(&mut self, is_removed: F)
    where
        F: Fn(&KnownEntry) -> bool,
    {
        let removed = self.entries.values().filter(|k| is_removed(k));
        let removed: Vec<(String, usize)> =
            removed.map(|k| (k.entry.name.clone(), k.slot)).collect();
        for (name, slot) in removed {
            self.entries.remove(&name);
            self.set_slot(slot, None);
            self.unused_slots.push(slot);
        }
    }

    fn set_slot(&mut self, index: usize, name: Option<String>) {
        self.version.revision += 1;
        let slot = Slot {
            name,
            changed_in: self.version.revision,
        };
        match self.slots.get_mut(index) {
            Some(known) => *known = slot,
            None => self.slots.push(slot),
        }
    }
}
