//! Errors as callers read them.

use crate::prelude::*;

/// A refusal or failure on its way to a caller.
#[derive(Clone, Debug)]
pub struct Problem {
    /// A stable name for programs.
    pub code: &'static str,
    /// For people.
    pub detail: String,
    /// What is known of the request: `not-run` or `may-have-run`.
    pub outcome: &'static str,
    /// When trying again makes sense.
    pub retry_after: Option<Duration>,
    /// The HTTP status.
    pub status: StatusCode,
}

/// The outcome of a request that provably did not run.
const NOT_RUN: &str = "not-run";

/// The outcome of a request that may have run.
const MAY_HAVE_RUN: &str = "may-have-run";

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        Self {
            code: error.code(),
            detail: error.to_string(),
            outcome: NOT_RUN,
            retry_after: (error == Error::Stopping).then_some(Duration::from_secs(1)),
            status: error.status(),
        }
    }
}

impl From<NotRun> for Problem {
    fn from(refused: NotRun) -> Self {
        let (code, status) = refusal(refused.refusal);
        Self {
            code,
            detail: refused.refusal.to_string(),
            outcome: NOT_RUN,
            retry_after: refused.retry_after,
            status,
        }
    }
}

impl From<MayHaveRun> for Problem {
    fn from(why: MayHaveRun) -> Self {
        let (code, status) = match why {
            MayHaveRun::ClaimUnsettled => ("claim_unsettled", StatusCode::GATEWAY_TIMEOUT),
            MayHaveRun::ConnectionLost => ("connection_lost", StatusCode::BAD_GATEWAY),
            MayHaveRun::DeadlinePassed => ("deadline_passed", StatusCode::GATEWAY_TIMEOUT),
            MayHaveRun::EarlierAttempt => ("earlier_attempt", StatusCode::CONFLICT),
            MayHaveRun::StreamCut(_) => ("stream_cut", StatusCode::BAD_GATEWAY),
        };
        Self {
            code,
            detail: why.to_string(),
            outcome: MAY_HAVE_RUN,
            retry_after: None,
            status,
        }
    }
}

impl Problem {
    /// The OpenAI error object, for the paths of that API and inside streams.
    #[must_use]
    pub fn openai(&self) -> Value {
        let kind = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        json!({"error": {
          "code": self.code,
          "message": self.detail,
          "outcome": self.outcome,
          "param": null,
          "type": kind,
        }})
    }

    /// Writes it as the OpenAI error object.
    pub fn write_openai(&self, response: &mut Response) {
        self.write(response, "application/json", &self.openai());
    }

    /// Writes it as RFC 9457 problem details.
    pub fn write_problem(&self, response: &mut Response) {
        let body = json!({
          "code": self.code,
          "detail": self.detail,
          "outcome": self.outcome,
          "status": self.status.as_u16(),
          "title": self.status.canonical_reason().unwrap_or_default(),
          "type": "about:blank",
        });
        self.write(response, "application/problem+json", &body);
    }

    fn write(&self, response: &mut Response, media: &'static str, body: &Value) {
        response.status_code(self.status);
        set(response, "content-type", media);
        set(response, "carawayhead-outcome", self.outcome);
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs().max(1);
            set(response, "retry-after", &seconds.to_string());
        }
        response.body(body.to_string());
    }
}

/// Sets a header whose value is known to be valid.
pub(crate) fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

const fn refusal(refusal: Refusal) -> (&'static str, StatusCode) {
    match refusal {
        Refusal::AllRefused => ("all_refused", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::CallerGone => ("caller_gone", StatusCode::BAD_REQUEST),
        Refusal::DeadlinePassed => ("deadline_passed", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::KeyExpired => ("key_expired", StatusCode::CONFLICT),
        Refusal::KeyFromFuture => ("key_from_future", StatusCode::BAD_REQUEST),
        Refusal::KeyReused => ("key_reused", StatusCode::UNPROCESSABLE_ENTITY),
        Refusal::LogUnavailable => ("log_unavailable", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::NoConfig => ("no_config", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::NoEndpoint => ("no_endpoint", StatusCode::SERVICE_UNAVAILABLE),
        Refusal::NotResumable => ("not_resumable", StatusCode::GONE),
        Refusal::QueueFull => ("queue_full", StatusCode::TOO_MANY_REQUESTS),
        Refusal::UnknownCustomer => ("unknown_customer", StatusCode::UNAUTHORIZED),
        Refusal::UnknownRoute => ("unknown_route", StatusCode::NOT_FOUND),
    }
}
