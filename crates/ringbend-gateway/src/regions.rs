//! Regions, and the data centres in which a request may run.

use std::collections::BTreeMap;

use ringbend_types::{DataCentre, Region};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The region of each data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionMap(BTreeMap<DataCentre, Region>);

/// The regions to which a route or a client account is confined.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(SmallVec<[Region; 2]>);

impl AllowedRegions {
    /// Only these regions; any if there are none.
    pub fn new(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(regions.into_iter().collect())
    }

    fn contains(&self, region: &Region) -> bool {
        self.0.is_empty() || self.0.contains(region)
    }
}

/// The data centres in which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedDataCentres {
    /// All.
    #[default]
    Any,
    /// Only these, possibly none.
    Only(SmallVec<[DataCentre; 4]>),
}

impl AllowedDataCentres {
    /// Whether a request may run in a data centre.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => allowed.contains(data_centre),
        }
    }

    /// Whether a request may run nowhere.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(allowed) if allowed.is_empty())
    }
}

impl RegionMap {
    /// All data centres that have a region.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.0.keys()
    }

    /// The data centres that satisfy all of these restrictions. A data centre whose region is
    /// unknown satisfies none.
    pub fn data_centres_in(&self, restrictions: &[&AllowedRegions]) -> AllowedDataCentres {
        if restrictions.iter().all(|regions| regions.0.is_empty()) {
            return AllowedDataCentres::Any;
        }
        let is_allowed =
            |region: &Region| restrictions.iter().all(|regions| regions.contains(region));
        let allowed = self.0.iter().filter(|(_, region)| is_allowed(region));
        AllowedDataCentres::Only(allowed.map(|(data_centre, _)| data_centre.clone()).collect())
    }
}

impl FromIterator<(DataCentre, Region)> for RegionMap {
    fn from_iter<T: IntoIterator<Item = (DataCentre, Region)>>(all: T) -> Self {
        Self(all.into_iter().collect())
    }
}
