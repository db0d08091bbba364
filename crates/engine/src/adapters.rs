//! The engine's adapter slots: which adapters are resident or being loaded, and how many requests use each.

use crate::prelude::*;

/// Why an order or a request that names an adapter is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterRefusal {
    /// All slots are in use.
    NoFreeSlot,
    /// Requests are still using it.
    InUse,
    /// That revision of it is not loaded.
    NotResident,
}

impl AdapterRefusal {
    /// The error type in the response.
    pub fn kind(&self) -> &'static str {
        match self {
            AdapterRefusal::NoFreeSlot => "no_adapter_place",
            AdapterRefusal::InUse => "adapter_in_use",
            AdapterRefusal::NotResident => ADAPTER_NOT_RESIDENT,
        }
    }
}

/// The adapters that an engine has loaded, in a fixed number of slots.
#[derive(Clone, Debug, Default)]
pub struct AdapterSlots {
    slots: usize,
    /// The loaded adapters, with the number of requests that use each.
    resident: BTreeMap<AdapterId, u64>,
    loading: BTreeSet<AdapterId>,
}

impl AdapterSlots {
    pub fn new(slots: usize) -> AdapterSlots {
        AdapterSlots { slots, ..AdapterSlots::default() }
    }

    /// The number of slots, free or in use.
    pub fn slot_count(&self) -> u64 {
        self.slots as u64
    }

    pub fn resident(&self) -> Vec<String> {
        self.resident.keys().map(AdapterId::to_string).collect()
    }

    /// Reserves a slot for a load. Returns false if the adapter is already loaded or being loaded.
    pub fn begin_load(&mut self, adapter: &AdapterId) -> Result<bool, AdapterRefusal> {
        if self.resident.contains_key(adapter) || self.loading.contains(adapter) {
            return Ok(false);
        }
        if self.resident.len() + self.loading.len() >= self.slots {
            return Err(AdapterRefusal::NoFreeSlot);
        }
        self.loading.insert(adapter.clone());
        Ok(true)
    }

    /// Completes a load; does nothing if the slots were cleared in the meantime.
    pub fn finish_load(&mut self, adapter: &AdapterId) {
        if self.loading.remove(adapter) {
            self.resident.insert(adapter.clone(), 0);
        }
    }

    /// Unloads an adapter that no request is using.
    pub fn unload(&mut self, adapter: &AdapterId) -> Result<(), AdapterRefusal> {
        if self.resident.get(adapter).is_some_and(|use_count| *use_count > 0) {
            return Err(AdapterRefusal::InUse);
        }
        self.resident.remove(adapter);
        Ok(())
    }

    /// Counts a request as using an adapter, if exactly that revision is loaded.
    pub fn acquire(&mut self, adapter: &AdapterId) -> Result<(), AdapterRefusal> {
        let use_count = self.resident.get_mut(adapter).ok_or(AdapterRefusal::NotResident)?;
        *use_count += 1;
        Ok(())
    }

    /// Ends a request's use of an adapter.
    pub fn release(&mut self, adapter: &AdapterId) {
        if let Some(use_count) = self.resident.get_mut(adapter) {
            *use_count = use_count.saturating_sub(1);
        }
    }

    /// Drops all adapters, since they belong to the weights that are being replaced.
    pub fn clear(&mut self) {
        self.resident.clear();
        self.loading.clear();
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn slots_are_bounded_and_only_loaded_adapters_can_be_used() {
        let mut slots = AdapterSlots::new(1);
        let (loaded, other, newer) = (AdapterId::new("x", 1), AdapterId::new("y", 1), AdapterId::new("x", 2));
        assert_eq!(slots.acquire(&loaded), Err(AdapterRefusal::NotResident));
        assert_eq!(slots.begin_load(&loaded), Ok(true));
        assert_eq!(slots.acquire(&loaded), Err(AdapterRefusal::NotResident), "while it is being loaded");
        assert_eq!(slots.begin_load(&other), Err(AdapterRefusal::NoFreeSlot));
        slots.finish_load(&loaded);
        assert_eq!(slots.begin_load(&loaded), Ok(false));
        assert_eq!(slots.acquire(&loaded), Ok(()));
        for not_loaded in [&other, &newer] {
            assert_eq!(slots.acquire(not_loaded), Err(AdapterRefusal::NotResident));
        }
        assert_eq!(slots.unload(&loaded), Err(AdapterRefusal::InUse));
        slots.release(&loaded);
        assert_eq!(slots.unload(&loaded), Ok(()));
        assert_eq!(slots.acquire(&loaded), Err(AdapterRefusal::NotResident));
        slots.begin_load(&loaded).unwrap();
        slots.clear();
        slots.finish_load(&loaded);
        assert!(slots.resident().is_empty(), "a load that was overtaken by new weights is discarded");
    }
}
