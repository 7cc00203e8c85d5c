/* The order protocol: claims of one key in an append-only log.
 *
 * Each request claims the key before it sends, reads the log up to its own claim
 * and sends only if the first claim that was not given up is its own. An append
 * may be answered, or its answer lost while it takes effect now, later or never;
 * it is then appended again. A request may pause anywhere (the scheduler may let
 * it stand), may give up before it sends, and may die. Callers come back through
 * another request. Checked: the order runs at most once, and a request that says
 * "not run" has not sent and never does.
 */

#ifndef REQUESTS
#define REQUESTS 3
#endif
#ifndef TRIES
#define TRIES 2     /* appends of a claim whose answer is lost */
#endif
#define LOG_MAX 16
#define NOBODY 255

/* Seeded faults: a later claim takes a held key; a held key lapses like a lease. */
#ifdef LAST_WINS
#define TAKES(o) (!voided[o])
#else
#define TAKES(o) (holder == NOBODY && !voided[o])
#endif

/* An entry is a claim of request n (n), or its giving up (n + 100). */
#define VOID 100

byte log[LOG_MAX] = NOBODY;
byte length = 0;
bit delayed[REQUESTS];    /* a copy of the claim is still on its way */
byte runs = 0;
bit sent[REQUESTS];
bit refused[REQUESTS];

inline append(entry) {
    assert(length < LOG_MAX);
    log[length] = entry;
    length++
}

/* Reads the log to its end: who holds the key, and whether the own claim was seen.
 * What was read is a prefix of the log, so reading at once loses no behaviour: an
 * earlier read is this read at an earlier time. */
inline read_log() {
    d_step {
        holder = NOBODY;
        known = 0;
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
                :: holder == log[i] - VOID -> holder = NOBODY
                :: else -> skip
                fi
            :: else ->
                if
                :: log[i] == me -> known = 1
                :: else -> skip
                fi;
                if
                :: TAKES(log[i]) -> holder = log[i]
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
    byte holder = NOBODY;
    bit known = 0;
    bit voided[REQUESTS];
    byte i = 0;
    byte tries = 0;

claiming:
    /* Claim: the answer comes, or is lost with or without effect, now or later. */
    atomic {
        tries++;
        if
        :: append(me)
        :: append(me); delayed[me] = 1
        :: delayed[me] = 1
        :: skip
        fi
    };

    do
    :: read_log();
        if
        :: (known && holder == me) -> break
#ifdef SEND_WITHOUT_READING
        :: !known -> break
#endif
        :: (known && holder != me && holder != NOBODY) -> goto lost
#ifdef LEASE
        :: known -> break                    /* the other's lease has lapsed */
#endif
        :: (!known && tries < TRIES) -> goto claiming
        :: goto giving_up                    /* deadline, or the caller left */
        :: goto dead                         /* the instance dies */
        fi
    od;

    /* The key is held for good: no pause here can let another request in. */
    if
    :: goto dead
    :: goto giving_up
    :: atomic { sent[me] = 1; runs++; assert(runs <= 1); goto dead }
    fi;

giving_up:
#ifdef SEND_AFTER_VOID
    if
    :: (known && holder == me) ->
        append(me + VOID);
        atomic { sent[me] = 1; runs++; assert(runs <= 1); goto dead }
    :: else -> skip
    fi;
#endif
    atomic { append(me + VOID); refused[me] = 1; goto dead };

lost:
    /* Another claim holds the key: wait for its end, or say that it may have run. */
    atomic { append(me + VOID); goto dead };

dead:
    assert(!(sent[me] && refused[me]))
}

/* A delayed copy of a claim arrives at any time, or never. */
proctype Network(byte owner) {
end:
    do
    :: atomic { delayed[owner] -> append(owner); delayed[owner] = 0 }
    od
}

init {
    byte n = 0;
    atomic {
        do
        :: n < REQUESTS -> run Request(n); run Network(n); n++
        :: else -> break
        od
    }
}
