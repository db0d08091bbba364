//! The places an engine has for adapters: what is held, what is being loaded, and what requests run on.

use crate::prelude::*;

/// Why an order or a request that names an adapter is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterRefusal {
    /// Every place is taken.
    NoPlace,
    /// Requests still run on it.
    InUse,
    /// It is not held in that revision.
    NotResident,
}

impl AdapterRefusal {
    pub fn kind(&self) -> &'static str {
        match self {
            AdapterRefusal::NoPlace => "no_adapter_place",
            AdapterRefusal::InUse => "adapter_in_use",
            AdapterRefusal::NotResident => ADAPTER_NOT_RESIDENT,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct AdapterPlaces {
    places: usize,
    /// What is held, and how many requests run on each.
    resident: BTreeMap<AdapterId, u64>,
    loading: BTreeSet<AdapterId>,
}

impl AdapterPlaces {
    pub fn new(places: usize) -> AdapterPlaces {
        AdapterPlaces { places, ..AdapterPlaces::default() }
    }

    pub fn count(&self) -> u64 {
        self.places as u64
    }

    pub fn resident(&self) -> Vec<String> {
        self.resident.keys().map(AdapterId::to_string).collect()
    }

    /// Takes a place for a load; false if it is held or being loaded already.
    pub fn begin_load(&mut self, adapter: &AdapterId) -> Result<bool, AdapterRefusal> {
        if self.resident.contains_key(adapter) || self.loading.contains(adapter) {
            return Ok(false);
        }
        if self.resident.len() + self.loading.len() >= self.places {
            return Err(AdapterRefusal::NoPlace);
        }
        self.loading.insert(adapter.clone());
        Ok(true)
    }

    /// The load is over; void if the places were cleared meanwhile.
    pub fn finish_load(&mut self, adapter: &AdapterId) {
        if self.loading.remove(adapter) {
            self.resident.insert(adapter.clone(), 0);
        }
    }

    pub fn unload(&mut self, adapter: &AdapterId) -> Result<(), AdapterRefusal> {
        if self.resident.get(adapter).is_some_and(|running| *running > 0) {
            return Err(AdapterRefusal::InUse);
        }
        self.resident.remove(adapter);
        Ok(())
    }

    /// A request begins on an adapter, if exactly that is held.
    pub fn enter(&mut self, adapter: &AdapterId) -> Result<(), AdapterRefusal> {
        let running = self.resident.get_mut(adapter).ok_or(AdapterRefusal::NotResident)?;
        *running += 1;
        Ok(())
    }

    pub fn leave(&mut self, adapter: &AdapterId) {
        if let Some(running) = self.resident.get_mut(adapter) {
            *running = running.saturating_sub(1);
        }
    }

    /// New weights: adapters of the old ones are gone.
    pub fn clear(&mut self) {
        self.resident.clear();
        self.loading.clear();
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn places_are_bounded_and_only_what_is_held_runs() {
        let mut places = AdapterPlaces::new(1);
        let (held, other, newer) = (AdapterId::new("x", 1), AdapterId::new("y", 1), AdapterId::new("x", 2));
        assert_eq!(places.enter(&held), Err(AdapterRefusal::NotResident));
        assert_eq!(places.begin_load(&held), Ok(true));
        assert_eq!(places.enter(&held), Err(AdapterRefusal::NotResident), "while it is being loaded");
        assert_eq!(places.begin_load(&other), Err(AdapterRefusal::NoPlace));
        places.finish_load(&held);
        assert_eq!(places.begin_load(&held), Ok(false));
        assert_eq!(places.enter(&held), Ok(()));
        for foreign in [&other, &newer] {
            assert_eq!(places.enter(foreign), Err(AdapterRefusal::NotResident));
        }
        assert_eq!(places.unload(&held), Err(AdapterRefusal::InUse));
        places.leave(&held);
        assert_eq!(places.unload(&held), Ok(()));
        assert_eq!(places.enter(&held), Err(AdapterRefusal::NotResident));
        places.begin_load(&held).unwrap();
        places.clear();
        places.finish_load(&held);
        assert!(places.resident().is_empty(), "a load that new weights overtook comes to nothing");
    }
}
