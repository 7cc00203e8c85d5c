//! Builds the response of a generation that is not streamed.

use crate::prelude::*;

/// Aggregates the tokens of a generation into one OpenAI response object.
#[derive(Debug, Default)]
pub struct CompletionBuilder {
    finish_reason: Value,
    envelope: Map<String, Value>,
    text: String,
    completion_tokens: u32,
}

impl CompletionBuilder {
    /// Appends one token event of the engine.
    ///
    /// # Errors
    ///
    /// `data` is not a JSON object.
    pub fn push_token(&mut self, data: &[u8]) -> Result<(), serde_json::Error> {
        let mut token = serde_json::from_slice::<Map<String, Value>>(data)?;
        self.completion_tokens += 1;
        if let Some(choice) = token.get("choices").and_then(|choices| choices.get(0)) {
            let text = choice
                .get("text")
                .or_else(|| choice.get("delta")?.get("content"));
            self.text
                .push_str(text.and_then(Value::as_str).unwrap_or_default());
            if let Some(reason) = choice
                .get("finish_reason")
                .filter(|reason| !reason.is_null())
            {
                self.finish_reason = reason.clone();
            }
        }
        token.remove("choices");
        self.envelope = token;
        Ok(())
    }

    /// Returns the response object; `prompt_tokens` is the prompt length in tokens.
    #[must_use]
    pub fn build(mut self, chat: bool, prompt_tokens: u32) -> Value {
        let (object, choice) = if chat {
            let message = json!({"role": "assistant", "content": self.text});
            (
                "chat.completion",
                json!({"index": 0, "message": message, "finish_reason": self.finish_reason}),
            )
        } else {
            (
                "text_completion",
                json!({"index": 0, "text": self.text, "finish_reason": self.finish_reason}),
            )
        };
        self.envelope.insert("object".to_string(), json!(object));
        self.envelope.insert("choices".to_string(), json!([choice]));
        self.envelope.insert(
            "usage".to_string(),
            json!({
              "prompt_tokens": prompt_tokens,
              "completion_tokens": self.completion_tokens,
              "total_tokens": prompt_tokens + self.completion_tokens,
            }),
        );
        Value::Object(self.envelope)
    }
}
