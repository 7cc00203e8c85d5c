//! Whole answers put together from the tokens of a generation.

use crate::prelude::*;

/// Collects the tokens of a generation into one answer of the OpenAI shape.
#[derive(Debug, Default)]
pub struct Collect {
    finish: Value,
    frame: Map<String, Value>,
    text: String,
    tokens: u32,
}

impl Collect {
    /// Takes one token in.
    ///
    /// # Errors
    ///
    /// The engine's data is not a JSON object.
    pub fn take(&mut self, data: &[u8]) -> Result<(), serde_json::Error> {
        let mut token = serde_json::from_slice::<Map<String, Value>>(data)?;
        self.tokens += 1;
        if let Some(choice) = token.get("choices").and_then(|choices| choices.get(0)) {
            let text = choice
                .get("text")
                .or_else(|| choice.get("delta")?.get("content"));
            self.text
                .push_str(text.and_then(Value::as_str).unwrap_or_default());
            if let Some(finish) = choice
                .get("finish_reason")
                .filter(|finish| !finish.is_null())
            {
                self.finish = finish.clone();
            }
        }
        token.remove("choices");
        self.frame = token;
        Ok(())
    }

    /// The whole answer.
    #[must_use]
    pub fn answer(mut self, chat: bool, prompt: u32) -> Value {
        let (object, choice) = if chat {
            let message = json!({"role": "assistant", "content": self.text});
            (
                "chat.completion",
                json!({"index": 0, "message": message, "finish_reason": self.finish}),
            )
        } else {
            (
                "text_completion",
                json!({"index": 0, "text": self.text, "finish_reason": self.finish}),
            )
        };
        self.frame.insert("object".to_string(), json!(object));
        self.frame.insert("choices".to_string(), json!([choice]));
        self.frame.insert(
            "usage".to_string(),
            json!({
              "prompt_tokens": prompt,
              "completion_tokens": self.tokens,
              "total_tokens": prompt + self.tokens,
            }),
        );
        Value::Object(self.frame)
    }
}
