//! Handles streams that break off, or that end without a mark: where only the end of the connection marks the end of a
//! response, a run that was stopped looks the same as one that is complete.

use super::{Moving, Relay, RelayEnd, is_stopping};
use crate::gateway::moving::MoveOutcome;
use crate::gateway::quarantine::RunProgress;
use crate::time;

/// How a stream ended, other than by a mark.
pub(super) enum StreamEnd {
    /// Its connection was closed between two events.
    Closed,
    /// It failed, or ended inside an event, for this reason.
    BrokeOff(String),
}

impl Relay {
    /// Continues the stream from its copy if the run was stopped for a move. Otherwise a closed stream is complete, and
    /// one that broke off is started again if that is allowed.
    pub(super) async fn handle_end(
        &mut self,
        end: StreamEnd,
        moving: Option<Moving>,
    ) -> Result<(), RelayEnd> {
        let stopping = moving.filter(|moving| is_stopping(Some(moving)));
        let mut outcome = match stopping {
            Some(moving) => moving.done.await,
            None => MoveOutcome::NotMoved("not_stopped"),
        };
        if let MoveOutcome::Unconfirmed(stop) = outcome {
            self.note_unconfirmed();
            outcome = stop.confirm().await;
        } else if matches!(outcome, MoveOutcome::NotMoved(_))
            && let Some(stop) = self.unconfirmed.take()
        {
            outcome = stop.confirm().await;
        }
        match outcome {
            MoveOutcome::NotMoved(_) => self.handle_unstopped_end(end).await,
            moved => self.handle_move(moved).await,
        }
    }

    /// Handles the end of a stream whose run was not stopped for a move.
    async fn handle_unstopped_end(&mut self, end: StreamEnd) -> Result<(), RelayEnd> {
        let now = time::now();
        let mut may_be_over = false;
        let why = match end {
            StreamEnd::BrokeOff(why) => why,
            // The server has the same time limit, and ends the run when it is over.
            StreamEnd::Closed if now >= self.call.deadline => {
                return Err(RelayEnd::Broken("out of time".into()));
            }
            // A server that continues a stream has more to send, unless the run was over.
            StreamEnd::Closed if self.no_event_yet && !self.may_be_over => {
                "the stream was continued without an event".into()
            }
            StreamEnd::Closed if self.gateway.has_ended(&self.slot.place.destination).await => {
                may_be_over = true;
                "its server has ended".into()
            }
            StreamEnd::Closed => return Err(RelayEnd::Complete),
        };
        if self.is_starting_up(now) {
            let run = self.first_event_at.map_or(RunProgress::NoEvents, |_| RunProgress::Begun);
            self.gateway.handle_lost_run(&self.call, &self.slot, run).await;
        }
        self.restart(why).await?;
        self.may_be_over = may_be_over;
        Ok(())
    }
}
