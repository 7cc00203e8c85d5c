/*
 * Whether a key can be used long after it was taken away.
 *
 * An operator takes a key away at some time. One instance reads the store; the answer may
 * lie in a buffer for as long as the instance is frozen or cut off. It tells a fellow how old
 * its knowledge is, with the last number that it heard from that fellow; word, number and
 * records are each late by any time, and records may be lost. Both use the key as long as
 * they do not know better and their knowledge is not older than USED.
 *
 * Seeded faults: ARRIVAL counts the reader's knowledge from the arrival of the answer,
 * WORD_ARRIVAL the fellow's from the arrival of the word, NO_POSITION lets a word prove
 * knowledge of records that did not arrive.
 */

#define END 5       /* time runs from 0 to here */
#define USED 1      /* knowledge up to this age is used */
#define ALLOWED 1   /* a key may be used so long after it was taken away */

#define max(a, b) ((a) > (b) -> (a) : (b))
/* A request under the key reaches instance i. */
#define use(i) !knows[i] && now - proven[i] <= USED -> assert(!taken || now - taken_at <= ALLOWED)
#define less(a, b) ((a) > (b) -> (a) - (b) : 0)

byte now = 0;
bool taken = false;
byte taken_at = 0;

bool knows[2];        /* that the key was taken away */
byte proven[2];       /* knowledge was complete then; 0: the start */

bool answer = false;  /* the store's answer, on its way to the reader */
byte asked;
bool answer_taken;

byte number = 0;      /* the fellow's own time, on its way to the reader */
byte echo = 0;        /* the last number that the reader heard */

bool word = false;    /* the reader's word, on its way to the fellow */
byte word_age;
byte word_echo;
bool word_taken;
bool records = false; /* the record itself, on its way to the fellow */

active proctype clock() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype operator() {
  atomic { taken = true; taken_at = now }
}

active proctype reader() {
  do
  :: atomic { use(0) }
  :: atomic { !answer -> answer = true; asked = now; answer_taken = taken }
  :: atomic { answer -> answer = false;
       records = records || (answer_taken && !knows[0]);
       knows[0] = knows[0] || answer_taken;
#ifdef ARRIVAL
       proven[0] = now
#else
       proven[0] = max(proven[0], asked)
#endif
     }
  :: atomic { echo = number }
  :: atomic { !word -> word = true; word_age = now - proven[0]; word_echo = echo;
       word_taken = knows[0] }
  :: now == END -> break
  od
}

active proctype fellow() {
  do
  :: atomic { use(1) }
  :: atomic { number = now }
  :: atomic { records -> records = false; knows[1] = true }
  :: atomic { records -> records = false }
  :: atomic { word -> word = false;
       if
#ifndef NO_POSITION
       :: word_taken && !knows[1] -> skip
#endif
       :: else ->
#ifdef WORD_ARRIVAL
          proven[1] = max(proven[1], less(now, word_age))
#else
          proven[1] = max(proven[1], less(word_echo, word_age))
#endif
       fi
     }
  :: now == END -> break
  od
}
