
3
12-hosthttp://127.87.0.53:7701north å§ñ•Ìè“÷«³ :'
 b0ba714a08e182f543f08661067438c2¯:'
 ebdd3526db535ef3f9ab5ca638490523¯:'
 05800439268e369aac067a9824f6de91¶@J
op6J
serversIJ

sharedJR
e3