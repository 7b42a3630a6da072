//! Prefix cache with a limit in tokens and eviction of the least recently used chat.

use std::collections::HashMap;

#[derive(Debug)]
struct CachedChat {
    /// Hash and token count of each message.
    messages: Vec<(u64, u64)>,
    tokens: u64,
    /// Value of [`PrefixCache::use_counter`] at the last use.
    last_used: u64,
}

/// Cached prompts by chat id.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit_tokens: u64,
    used_tokens: u64,
    /// Logical clock that orders the uses of chats.
    use_counter: u64,
    chats: HashMap<String, CachedChat>,
}

impl PrefixCache {
    pub(super) fn new(limit_tokens: u64) -> Self {
        Self { limit_tokens, used_tokens: 0, use_counter: 0, chats: HashMap::new() }
    }

    pub(super) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Returns how many tokens at the start of `prompt` are cached, and marks the chat as used.
    pub(super) fn cached_tokens(&mut self, chat: &str, prompt: &[(u64, u64)]) -> u64 {
        self.use_counter += 1;
        let Some(cached) = self.chats.get_mut(chat) else {
            return 0;
        };
        cached.last_used = self.use_counter;
        cached
            .messages
            .iter()
            .zip(prompt)
            .take_while(|(cached, wanted)| cached.0 == wanted.0)
            .map(|(_, wanted)| wanted.1)
            .sum()
    }

    /// Stores the messages of a chat and evicts other chats as needed. Returns the kind
    /// (`stored` or `evicted`) and chat id of each change.
    ///
    /// A chat that exceeds the limit of the cache by itself is not stored.
    pub(super) fn store(
        &mut self,
        chat: &str,
        messages: Vec<(u64, u64)>,
    ) -> Vec<(&'static str, String)> {
        let mut changes = Vec::new();
        let was_cached = match self.chats.remove(chat) {
            Some(cached) => {
                self.used_tokens -= cached.tokens;
                true
            }
            None => false,
        };
        let tokens: u64 = messages.iter().map(|it| it.1).sum();
        if tokens > self.limit_tokens {
            if was_cached {
                changes.push(("evicted", chat.to_owned()));
            }
            return changes;
        }
        while self.used_tokens + tokens > self.limit_tokens {
            let Some(oldest) =
                self.chats.iter().min_by_key(|it| it.1.last_used).map(|it| it.0.clone())
            else {
                break;
            };
            if let Some(evicted) = self.chats.remove(&oldest) {
                self.used_tokens -= evicted.tokens;
                changes.push(("evicted", oldest));
            }
        }
        self.use_counter += 1;
        self.used_tokens += tokens;
        let last_used = self.use_counter;
        self.chats.insert(chat.to_owned(), CachedChat { messages, tokens, last_used });
        if !was_cached {
            changes.push(("stored", chat.to_owned()));
        }
        changes
    }

    /// Empties the cache and returns the ids of its chats in sorted order.
    pub(super) fn clear(&mut self) -> Vec<String> {
        self.used_tokens = 0;
        let mut chats: Vec<String> = self.chats.drain().map(|it| it.0).collect();
        chats.sort_unstable();
        chats
    }
}
