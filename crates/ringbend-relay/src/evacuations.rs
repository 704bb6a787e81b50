//! Data centres that the operator evacuates, as known to this instance.

use ringbend_gateway::Evacuations;
use ringbend_types::DataCentre;

use crate::node::Node;

impl Node {
    /// Adopts a set of evacuated data centres that is later than the known one, and informs other
    /// instances if it differs.
    pub(crate) fn adopt_evacuations(&self, evacuations: Evacuations) {
        let position = evacuations.position();
        if position <= self.directory.borrow().evacuations().position() {
            return;
        }
        let before = self.directory.borrow().evacuations().data_centres().to_vec();
        if !self.directory.borrow_mut().merge_evacuations(evacuations) {
            return;
        }
        let after = self.directory.borrow().evacuations().data_centres().to_vec();
        let log_missing = |from: &[DataCentre], other: &[DataCentre], evacuated: bool| {
            for data_centre in from.iter().filter(|centre| !other.contains(centre)) {
                log::info!(target: "endpoints", data_centre:%, evacuated, position:%; "evacuation changed");
            }
        };
        log_missing(&after, &before, true);
        log_missing(&before, &after, false);
        let ended = before.iter().filter(|data_centre| !after.contains(data_centre));
        ended.for_each(|data_centre| self.note_cold_data_centre(data_centre));
        self.metrics.evacuated_data_centres.set(after.len() as i64);
        self.flush.immediate.notify_one();
        // Prompts that wait for engines look again at which there are.
        self.load_changed.notify_waiters();
    }
}
