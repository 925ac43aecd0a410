
5
12-hosthttp://127.87.0.53:7701north å§ñ•Ìè“÷0§Ÿ:'
 b0ba714a08e182f543f08661067438c2ä:'
 ebdd3526db535ef3f9ab5ca638490523ä:'
 05800439268e369aac067a9824f6de91ëJ
op6J
serversIJ

sharedJR
e3