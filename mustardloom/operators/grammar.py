"""Grammar of the operator language."""

__all__ = ["GRAMMAR", "MEANING_BY_TERMINAL"]

# A keyword must be followed by white space or the end of the line, so that a
# name may start with a keyword. A keyword in place of a name is read as a name.
GRAMMAR = r"""
?start: query | command

?query: owner | load | targets | slots | moves | stops | configuration
      | audit | help
owner: OWNER OF name IN name [FOR name]
load: LOAD OF name
targets: TARGETS [IN name] [OF name]
slots: SLOTS OF name
moves: MOVES
stops: STOPS
configuration: CONFIGURATION
audit: AUDIT [OF name] [LAST number]
help: HELP

?command: stop | start_command | move_slot | move_key | confirm_lost
stop: STOP kind name [FORCE]
start_command: START kind name
move_slot: MOVE SLOT number OF name TO name
move_key: MOVE KEY name OF name TO name
confirm_lost: CONFIRM LOST name

kind: ZONE | TARGET
name: QUOTED | WORD
number: NUMBER

OWNER.2: /owner(?!\S)/
LOAD.2: /load(?!\S)/
TARGETS.2: /targets(?!\S)/
SLOTS.2: /slots(?!\S)/
MOVES.2: /moves(?!\S)/
STOPS.2: /stops(?!\S)/
CONFIGURATION.2: /configuration(?!\S)/
AUDIT.2: /audit(?!\S)/
HELP.2: /help(?!\S)/
STOP.2: /stop(?!\S)/
START.2: /start(?!\S)/
MOVE.2: /move(?!\S)/
CONFIRM.2: /confirm(?!\S)/
OF.2: /of(?!\S)/
IN.2: /in(?!\S)/
FOR.2: /for(?!\S)/
LAST.2: /last(?!\S)/
LOST.2: /lost(?!\S)/
SLOT.2: /slot(?!\S)/
KEY.2: /key(?!\S)/
TO.2: /to(?!\S)/
FORCE.2: /force(?!\S)/
ZONE.2: /availability-zone(?!\S)/
TARGET.2: /target(?!\S)/
NUMBER.2: /[0-9]{1,9}(?!\S)/
QUOTED.2: /"[^"\n]+"(?!\S)/
WORD: /[^\s"]+(?!\S)/

%ignore /[ \t]+/
"""

# How error messages show the terminals whose text is not their lower-case name.
MEANING_BY_TERMINAL = {
    "ZONE": "'availability-zone'",
    "NUMBER": "a number",
    "QUOTED": 'a name in "quotes"',
    "WORD": "a name",
    "$END": "the end of the line",
}
