/* Order protocol: claims of one idempotency key in an append-only log.
 *
 * Each request appends a claim of the key, reads the log up to its own claim and
 * sends only if the first claim that was not voided is its own. The response to an
 * append may be lost while the append takes effect now, later or never; the request
 * then appends again. A request may pause anywhere, may give up before it sends, and
 * may crash. A caller's retry is another request. Checked: the order runs at most
 * once, and a request that reports "not run" has not sent and never does.
 */

#ifndef REQUESTS
#define REQUESTS 3
#endif
#ifndef MAX_APPENDS
#define MAX_APPENDS 2   /* appends of a claim per request, if responses are lost */
#endif
#define LOG_CAPACITY 16
#define NO_HOLDER 255

/* Seeded faults: LAST_WINS lets a later claim acquire a held key; LEASE lets a held key
 * expire; SEND_WITHOUT_READING and SEND_AFTER_VOID send without holding the key. */
#ifdef LAST_WINS
#define CAN_ACQUIRE(claim) (!voided[claim])
#else
#define CAN_ACQUIRE(claim) (holder == NO_HOLDER && !voided[claim])
#endif

/* Log record n is the claim of request n; n + VOID withdraws it. */
#define VOID 100

byte log[LOG_CAPACITY] = NO_HOLDER;
byte length = 0;
bit in_flight[REQUESTS];  /* a copy of the claim is in flight */
byte runs = 0;
bit sent[REQUESTS];
bit reported_not_run[REQUESTS];

inline append(record) {
    assert(length < LOG_CAPACITY);
    log[length] = record;
    length++
}

/* Reads the log to its end: which request holds the key, and whether this request's
 * claim is in it. A request that has read only a prefix behaves like one that read the
 * whole log earlier, so the atomic read loses no behaviour. */
inline read_log() {
    d_step {
        holder = NO_HOLDER;
        claim_seen = 0;
        i = 0;
        do
        :: i < REQUESTS -> voided[i] = 0; i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < length ->
            if
            :: log[i] >= VOID ->
                voided[log[i] - VOID] = 1;
                if
                :: holder == log[i] - VOID -> holder = NO_HOLDER
                :: else -> skip
                fi
            :: else ->
                if
                :: log[i] == me -> claim_seen = 1
                :: else -> skip
                fi;
                if
                :: CAN_ACQUIRE(log[i]) -> holder = log[i]
                :: else -> skip
                fi
            fi;
            i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < REQUESTS -> voided[i] = 0; i++
        :: else -> break
        od;
        i = 0
    }
}

proctype Request(byte me) {
    byte holder = NO_HOLDER;
    bit claim_seen = 0;
    bit voided[REQUESTS];
    byte i = 0;
    byte appends = 0;

append_claim:
    /* The append succeeds, or its response is lost and it takes effect now, later or
     * never. */
    atomic {
        appends++;
        if
        :: append(me)
        :: append(me); in_flight[me] = 1
        :: in_flight[me] = 1
        :: skip
        fi
    };

    do
    :: read_log();
        if
        :: (claim_seen && holder == me) -> break
#ifdef SEND_WITHOUT_READING
        :: !claim_seen -> break
#endif
        :: (claim_seen && holder != me && holder != NO_HOLDER) -> goto held_by_other
#ifdef LEASE
        :: claim_seen -> break                 /* the holder's lease has expired */
#endif
        :: (!claim_seen && appends < MAX_APPENDS) -> goto append_claim
        :: goto give_up                     /* deadline, or the caller disconnected */
        :: goto finished                    /* the instance crashes */
        fi
    od;

    /* A held key never expires, so a pause here cannot let another request acquire it. */
    if
    :: goto finished
    :: goto give_up
    :: atomic { sent[me] = 1; runs++; assert(runs <= 1); goto finished }
    fi;

give_up:
#ifdef SEND_AFTER_VOID
    if
    :: (claim_seen && holder == me) ->
        append(me + VOID);
        atomic { sent[me] = 1; runs++; assert(runs <= 1); goto finished }
    :: else -> skip
    fi;
#endif
    atomic { append(me + VOID); reported_not_run[me] = 1; goto finished };

held_by_other:
    /* Another claim holds the key: the request waits for its result, or reports that
     * the order may have run. */
    atomic { append(me + VOID); goto finished };

finished:
    assert(!(sent[me] && reported_not_run[me]))
}

/* An in-flight copy of a claim arrives at any time, or never. */
proctype Network(byte owner) {
end:
    do
    :: atomic { in_flight[owner] -> append(owner); in_flight[owner] = 0 }
    od
}

init {
    byte request = 0;
    atomic {
        do
        :: request < REQUESTS -> run Request(request); run Network(request); request++
        :: else -> break
        od
    }
}
